"""Names, formats and calls of the deployment platform; decides nothing."""
