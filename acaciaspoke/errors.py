"""Base classes and common types of errors."""


class AcaciaspokeError(Exception):
    """Base class of all errors that this package defines."""


class UserError(AcaciaspokeError):
    """An error that the command line prints as one line, without traceback."""


class ListenError(AcaciaspokeError):
    """A process could not listen on one of its addresses."""


class FieldError(AcaciaspokeError):
    """An invalid field of a JSON document.

    Attributes:
        path: Path of the field, such as ``models.m1.memory_bytes``.
        problem: What is wrong with it.
    """

    def __init__(self, path: str, problem: str):
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem
