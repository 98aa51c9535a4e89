"""Run the programs of the platform before a stand-in of it."""
