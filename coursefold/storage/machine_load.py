"""What the entries on one machine take of its resources."""

from coursefold.protocol.wire import PRIORITY_ORDER, Job


class MachineLoad:
    """The resources that all entries on one machine take together.

    Attributes:
        specs: The jobs of the entries, one per entry.
        cpus: Sum of the CPUs.
        gpus: Sum of the accelerators.
        memory_gb: Sum of the memory.
        images_gb: The size of each image, by its name.
        lowest_priority: The lowest of the jobs' priorities as the highest number in
            PRIORITY_ORDER; -1 without entries.
        replica_usage: CPUs, accelerators and memory (GB) of replicas of standing jobs.
    """

    __slots__ = (
        "cpus",
        "gpus",
        "images_gb",
        "lowest_priority",
        "memory_gb",
        "replica_usage",
        "specs",
    )

    def __init__(self, specs: list[Job]) -> None:
        self.specs = specs
        self.cpus = sum(spec.cpus for spec in specs)
        self.gpus = sum(spec.gpus for spec in specs)
        self.memory_gb = sum(spec.memory_gb for spec in specs)
        self.images_gb = {spec.image: spec.image_gb for spec in specs}
        self.lowest_priority = max((PRIORITY_ORDER[spec.priority] for spec in specs), default=-1)
        # Replicas run until their user cancels the job.
        replicas = [spec for spec in specs if spec.kind == "standing"]
        self.replica_usage = (
            sum(spec.cpus for spec in replicas),
            sum(spec.gpus for spec in replicas),
            sum(spec.memory_gb for spec in replicas),
        )


EMPTY_LOAD = MachineLoad([])
