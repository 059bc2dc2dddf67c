"""Daemons and a store, without upstreams, for tests and benchmarks of the
configuration."""

import json
import pathlib
import shutil
import sys
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))

import run as example  # noqa: E402

DATA = ROOT / "test/process/data/config"


class ConfigurationFleet(example.Fleet):
    """A fleet with its own copy of the configuration files, to be edited."""

    def __init__(self, build, topology=None):
        super().__init__(build, DATA)
        if topology is not None:
            self.topology = topology
            self.store = topology["store"]
            self.vms = []
            self._create_vms()
        self.files = pathlib.Path(self.folder.name) / "files"
        shutil.copytree(DATA, self.files)

    def settings(self, vm):
        return super().settings(vm) | {"threads": 1}

    def start_all(self):
        self.start_store()
        for vm in self.vms:
            self.start_daemon(vm)
        example.wait_for(self.all_members_known,
                         "every daemon to know all others", 90)

    def all_members_known(self):
        return all(len(self.members(vm)) == len(self.vms) for vm in self.vms)

    def members(self, vm):
        return example.get_json(f"{vm['address']}:7105", "/v1/members") or []

    def set_retry_share(self, share):
        """Change the retry share in the base file."""
        self.write_retry_share(self.files, share)

    @staticmethod
    def write_retry_share(folder, share):
        path = folder / "base.json"
        base = json.loads(path.read_text())
        base["limits"]["retry_share"]["value"] = share
        path.write_text(json.dumps(base))

    def settings_path(self):
        return (pathlib.Path(self.folder.name)
                / f"{self.vms[0]['member']}.json")

    def ctl_on_files(self, command, *arguments, files=None):
        """Run galenarudderctl with the base and overlays of a folder."""
        files = files or self.files
        return self.ctl(command, "--settings", self.settings_path(),
                        "--base", files / "base.json",
                        "--overlays", files / "overlays", *arguments)

    def version_in_force(self, vm):
        status = example.get_json(f"{vm['address']}:7105", "/v1/status")
        return status["configuration_version"] if status else 0

    def all_have_version(self, version):
        return all(self.version_in_force(vm) >= version for vm in self.vms)

    def metric(self, vm, name):
        with urllib.request.urlopen(
                f"http://{vm['address']}:7105/metrics", timeout=5) as answer:
            for line in answer.read().decode().splitlines():
                if line.startswith(name + " "):
                    return float(line.split()[1])
        raise KeyError(name)

    def metric_sum(self, name):
        return sum(self.metric(vm, name) for vm in self.vms)

    def adopted_reversions(self):
        return self.metric_sum(
            "galenarudder_configuration_reversions_adopted_total")

    def set_store(self, **behaviour):
        """Change how the stand-in store behaves."""
        query = "&".join(f"{name}={value}"
                         for name, value in behaviour.items())
        with urllib.request.urlopen(
                f"http://{self.store}/stand-in/set?{query}", timeout=5):
            pass

    def store_counts(self):
        return example.get_json(self.store, "/stand-in/counts")

    def stored_configuration(self):
        return example.get_json(
            self.store, "/v1/kv/galenarudder/configuration?raw")

    def overwrite_store(self, text):
        request = urllib.request.Request(
            f"http://{self.store}/v1/kv/galenarudder/configuration",
            data=text.encode(), method="PUT")
        with urllib.request.urlopen(request, timeout=5):
            pass


def expect(condition, description):
    if not condition:
        raise AssertionError(description)
