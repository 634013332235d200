"""gooseberryctl, the command-line client for operators of a cell."""
