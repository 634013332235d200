"""The gooseberryd process of every entry host."""
