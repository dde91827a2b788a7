"""Epochs of a lease, and the fencing tokens of each."""

from acaciaspoke.control.lease_errors import LeaseError
from acaciaspoke.ids import FencingToken

# The epoch forms the upper bits of a fencing token, so that every token of a
# new holder exceeds all tokens of earlier holders. Up to epoch 2**21 tokens
# stay below 2**53, which every JSON reader handles as an integer.
EPOCH_SHIFT = 32

# Most epochs that a restore of the table may lose. The holder that a restored
# table shows may not be the last one, so the first epoch of an era is that much
# higher; a table without the row shows no epoch, so it depends on the era too.
EPOCHS_PER_ERA = 1024


def next_epoch(
    highest_epoch: int, table_era: int, is_row_outdated: bool
) -> int:
    """Returns the epoch of a new holder, above all earlier ones.

    Args:
        highest_epoch: The highest epoch that this process has observed.
        table_era: The highest known era of the table.
        is_row_outdated: Whether the table was restored since the lease's row
            was written.
    """
    lost_epochs = EPOCHS_PER_ERA if is_row_outdated else 0
    first_epoch = (table_era - 1) * EPOCHS_PER_ERA + 1
    return max(highest_epoch + lost_epochs + 1, first_epoch)


class FencingTokens:
    """Counts the tokens of the epoch in which this process holds the lease.

    Attributes:
        epoch: The epoch in which this process last held the lease.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self._count = 0

    def begin(self, epoch: int) -> None:
        """Begins the tokens of an epoch.

        The count of the same epoch goes on, as a late renewal can restore an
        epoch that had lapsed.
        """
        if epoch != self.epoch:
            self.epoch, self._count = epoch, 0

    def next(self) -> FencingToken:
        """Returns a token above all earlier ones.

        Raises:
            LeaseError: If the epoch has no tokens left.
        """
        if self._count + 1 >> EPOCH_SHIFT:
            raise LeaseError(f"epoch {self.epoch} has no tokens left")
        self._count += 1
        return FencingToken(self.epoch << EPOCH_SHIFT | self._count)
