"""Plan expert maps and bring each into force on all ranks at one step.

The ranks of a model group run each forward pass together; a step is the
number of a pass. For each set of layers a map says which experts each rank
holds; an expert may have replicas on several ranks.

``rebalancing`` plans and switches the maps of running groups, with
``placement`` and ``demand``. ``switch`` is a two-phase commit through the
replicated log, which the proof ``expert_map`` runs. ``planner`` plans single
layers with numpy for the measure ``skew``.
"""
