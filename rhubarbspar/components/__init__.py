"""Components of an instance.

Each component has its own part of the state, with its data types in ``models``, and a ``reducer``
that handles events and answers queries of other components.
"""
