"""Pure decisions: state, a message and a time in; typed actions out."""
