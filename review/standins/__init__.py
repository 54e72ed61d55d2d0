"""Stand-ins for the platform of the users, on loopback addresses.

They follow the users' pages on the protocol and on how instances are run. They use the
standard library only, so that a fault of the project cannot hide in its own stand-ins.
"""
