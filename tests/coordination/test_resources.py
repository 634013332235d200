"""Tests of resource amounts."""

from gooseberrydeck_coordination.resources import Resources


class TestResources:
    def test_fits_only_if_every_resource_fits(self) -> None:
        capacity = Resources(cpu_millis=1_000, memory_mib=512, accelerators=1)
        assert Resources(1_000, 512, 1).fits_in(capacity)
        assert not Resources(1_001, 512, 1).fits_in(capacity)
        assert not Resources(1_000, 513, 1).fits_in(capacity)
        assert not Resources(1_000, 512, 2).fits_in(capacity)
