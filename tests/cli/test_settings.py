"""Loading settings: one run reports all findings with file, table and key."""

from pathlib import Path

import pytest

from caperridge import settings
from caperridge.findings import FindingsError

VALID_FILE = """
[instance]
id = "instance-1"
availability_zone = "oviedo"
[platform]
endpoint = "http://127.0.0.1:7000"
"""

INVALID_FILES = [
    ("", ["instance: is missing", "platform: is missing"]),
    ("[instance", ["Expected ']'"]),
    (
        VALID_FILE + "[listne]\ncallers = 'x:1'\n[stop]\ndrian_s = 3",
        [
            "listne: is not a known key; did you mean 'listen'?",
            "stop.drian_s: is not a known key; did you mean 'drain_s'?",
        ],
    ),
    (
        VALID_FILE + "[listen]\ncallers = 'nine'\noperators = 'a:99999'\n",
        ["listen.callers: must be host:port", "listen.operators: must be host:port"],
    ),
    (
        VALID_FILE.replace("http:", "gopher:") + "[lease]\nseconds = -1\n",
        ["platform.endpoint: must be an http", "lease.seconds: value must be higher"],
    ),
    (
        VALID_FILE + 'secret_env = "UNSET"\n[peers]\nsecret_file = "absent"\nx = 1\n',
        [
            "platform.secret_env: variable UNSET is not set",
            "peers.secret_file: cannot be read",
            "peers.x: is not a known key",
        ],
    ),
    (
        VALID_FILE.replace("oviedo", "../oviedo"),
        ["instance.availability_zone: must be a plain name"],
    ),
    (
        VALID_FILE + '[tls.callers]\ncertificate = "no.pem"\nkey = "no.key"\n',
        ["tls.callers.certificate: there is no file", "tls.callers.key: there is no"],
    ),
    (
        VALID_FILE + '[tls.peers]\ncertificate = "s.toml"\nkey = "s.toml"\n',
        ["tls.peers: cannot be used"],
    ),
    (VALID_FILE + 'authority = "s.toml"\n', ["platform.authority: cannot be used"]),
    ("instance = 3\nplatform = []\npeers = 4\ntls = 5\n", ["instance: ", "platform: "]),
]


@pytest.mark.parametrize(("text", "expected"), INVALID_FILES)
def test_findings_come_together_with_their_place(
    tmp_path: Path, text: str, expected: list[str]
) -> None:
    file = tmp_path / "s.toml"
    file.write_text(text)
    with pytest.raises(FindingsError) as error_info:
        settings.load(file, {})
    found = [str(finding) for finding in error_info.value.findings]
    for prefix in expected:
        assert any(line.startswith(f"{file}: {prefix}") for line in found), found


def test_a_good_file_is_read_with_its_secrets(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    (tmp_path / "secret").write_text("from-a-file\n")
    file.write_text(VALID_FILE + 'secret_env = "S"\n[peers]\nsecret_file = "secret"\n')
    loaded = settings.load(file, {"S": "from-a-variable"})
    assert loaded.platform_secret == "from-a-variable"
    assert loaded.peers_secret == "from-a-file"
    assert str(loaded.callers) == "127.0.0.1:0"
