#!/usr/bin/env python3
"""Writes two variants of a site of the operators' kit, to play the bench's days on other settings.

    deploy/sites/derive.py ../given/kit
    deploy/sites/derive.py ../given/kit --drawn 26     (settings drawn by that number, as out/drawn-26.toml)

They go to deploy/sites/out/, which git leaves out, with the files that the bench wants beside a site. The
variants differ from the site in what the program must take from the settings alone: names, shares, effects,
limits, deadlines, windows and costs. `brisk` is far shorter than the site, `patient` far longer and asks for
lists where the site is pushed to.
"""
import pathlib
import random
import re
import shutil
import sys

SITE = "sites/leuven-main.toml"
BESIDE = ["sites/real.json", "sites/wire.json"]
UNLOCKS = ["sites/unlock.txt", "more/mass/unlock.txt", "more/mass/other/unlock.txt"]

ASKED = '"ask"\ncapacity = [3, 6]\ncall_lines = [15, 77]\ntimeout_ms = 2000'

# Key, table, and the figures' factor; a table [x] or [[x]] is named by its last word.
VARIANTS = {
    "brisk": {
        "names": {
            "heverlee": "north", "arenberg": "east", "gasthuis": "south", "haasrode": "west",
            "status": "quote", "consent": "seat", "upload": "basket",
            "kotwijzer": "tenant-a", "immo-dijle": "tenant-b", "woonpunt-zuid": "tenant-c",
            "front": "edge", "dossier": "offers", "bron": "stock-room",
        },
        "scale": {"aim_ms": 0.5, "deadline_ms": 0.4, "work_ms": 0.4, "window_ms": 0.3, "drain_grace_ms": 0.4,
                  "fall_ms": 0.5, "connect_timeout_ms": 0.6, "max_retry_after_ms": 0.5},
        "set": {("max_attempts", "allow"): "2", ("idle_s", "conn"): "4", ("late_worth", "class"): "0.4",
                ("waste", "prices"): "0.12", ("handshake", "prices"): "0.01",
                ("usage", "tenant"): "[0.8, 1.1]"},
        "effects": {"quote": "keyed", "seat": "safe", "basket": "unsafe"},
        "shares": {"tenant-a": "0.4", "tenant-b": "0.4", "tenant-c": "0.2"},
    },
    "patient": {
        "names": {
            "heverlee": "hall-1", "arenberg": "hall-2", "gasthuis": "hall-3", "haasrode": "hall-4",
            "status": "report", "consent": "ledger", "upload": "archive",
            "kotwijzer": "desk-one", "immo-dijle": "desk-two", "woonpunt-zuid": "desk-three",
            "front": "gate", "dossier": "shelf", "bron": "vault",
        },
        "scale": {"aim_ms": 3, "deadline_ms": 4, "window_ms": 3, "drain_grace_ms": 4,
                  "connect_timeout_ms": 3, "max_retry_after_ms": 2},
        "set": {("max_attempts", "allow"): "5", ("idle_s", "conn"): "25", ("late_worth", "class"): "0.5",
                ("waste", "prices"): "0.2", ("connection", "prices"): "0.03",
                ("mode", "discovery"): ASKED},
        "effects": {"report": "safe", "ledger": "keyed", "archive": "unsafe"},
        "shares": {"desk-one": "0.34", "desk-two": "0.33", "desk-three": "0.33"},
    },
}
KEYED_WINDOW_MS = 5000  # leuven-main's

# Of the drawn ones: sites in turn, and between which factors each key lies.
DRAWN_FROM = [SITE, "sites/lisboa-compensacao.toml", "sites/nyeri-rounds.toml", "more/mass/other/portal-shah-alam.toml"]
DRAWN = {"deadline_ms": (0.3, 3), "aim_ms": (0.4, 1.5), "work_ms": (0.3, 1.5), "window_ms": (0.15, 3),
         "drain_grace_ms": (0.3, 3), "fall_ms": (0.3, 2), "connect_timeout_ms": (0.5, 4), "idle_s": (0.2, 2),
         "cold_from": (0.25, 1), "cold_s": (0.5, 3), "error_rate": (1, 5), "fall_multiple": (0.6, 1.2),
         "notice_s": (0.3, 1.5)}


def scaled(value, factor):
    return re.sub(r"[0-9.]+", lambda found: f"{float(found[0]) * factor:g}", value)


def derive(text, name, how):
    for old, new in how["names"].items():  # `entry` is a word of the bench's, not a name
        text = re.sub(rf'(?<!entry = ")(?<=")({re.escape(old)})(?=["-])', new, text)
    text = re.sub(r'^name = "[^"]*"', f'name = "{name}"', text)
    blocks = []
    for block in re.split(r"(?m)^(?=\[)", text):
        table = re.match(r"\[+([\w.]+)", block)
        table = table[1].split(".")[-1] if table else ""
        for key, factor in how["scale"].items():
            block = re.sub(rf"(?m)^({key} = )(.*)$", lambda line: line[1] + scaled(line[2], factor), block)
        for (key, where), value in how["set"].items():
            if where == table:
                block = re.sub(rf"(?m)^({key} = ).*$", lambda line: line[1] + value, block)
        named = re.search(r'(?m)^name = "([^"]*)"', block)
        if table == "tenant" and named:
            block = re.sub(r"(?m)^share = .*$", "share = " + how["shares"][named[1]], block)
        if table == "class" and named:
            block = re.sub(r"(?m)^(effect|group|window_ms) = .*\n", "", block).rstrip("\n") + "\n"
            effect = how["effects"][named[1]]
            window = KEYED_WINDOW_MS * how["scale"]["window_ms"]
            keyed = f'group = "zone"\nwindow_ms = {window:g}\n'
            block += f'effect = "{effect}"\n' + (keyed if effect == "keyed" else "") + "\n"
        blocks.append(block)
    return "".join(blocks)


def drawn(kit, number):
    chance = random.Random(number)
    text = (kit / DRAWN_FROM[number % len(DRAWN_FROM)]).read_text()
    for key, (least, most) in DRAWN.items():
        factor = chance.uniform(least, most)
        text = re.sub(rf"(?m)^({key} = )([\[0-9].*)$", lambda line: line[1] + scaled(line[2], factor), text)
    for key in ("second_copies", "retry_after", "probes"):
        if chance.random() < 0.3:
            text = re.sub(rf"(?m)^({key} = ).*$", r"\1false", text)
    text = re.sub(r"(?m)^(max_attempts = ).*$", rf"\g<1>{chance.choice([1, 2, 3, 4, 6])}", text)
    if chance.random() < 0.4:
        text = text.replace('mode = "push"', f"mode = {ASKED}")
    blocks = re.split(r"(?m)^(?=\[)", text)
    for i, block in enumerate(blocks):
        if not block.startswith("[[class]]") or chance.random() < 0.5:
            continue
        block = re.sub(r"(?m)^(effect|group|window_ms) = .*\n", "", block).rstrip("\n") + "\n"
        effect = chance.choice(["safe", "keyed", "unsafe"])
        where = f'group = "{chance.choice(["zone", "cell", "all"])}"\nwindow_ms = {chance.choice([600, 1500, 5000])}\n'
        blocks[i] = block + f'effect = "{effect}"\n' + (where if effect == "keyed" else "") + "\n"
    return re.sub(r'^name = "[^"]*"', f'name = "drawn-{number}"', "".join(blocks))


def main():
    asked = len(sys.argv) == 4 and sys.argv[2] == "--drawn" and sys.argv[3].isdecimal()
    if not (len(sys.argv) == 2 or asked) or not (pathlib.Path(sys.argv[1]) / SITE).is_file():
        sys.exit(f"usage: {sys.argv[0]} KIT [--drawn NUMBER]    (the operators' kit, with {SITE})")
    kit = pathlib.Path(sys.argv[1])
    out = pathlib.Path(__file__).resolve().parent / "out"
    out.mkdir(exist_ok=True)
    for name, how in VARIANTS.items():
        (out / f"{name}.toml").write_text(derive((kit / SITE).read_text(), name, how))
    if asked:
        (out / f"drawn-{sys.argv[3]}.toml").write_text(drawn(kit, int(sys.argv[3])))
    for beside in BESIDE:
        shutil.copyfile(kit / beside, out / pathlib.Path(beside).name)
    lines = []
    for unlock in UNLOCKS:
        lines += [line for line in (kit / unlock).read_text().splitlines() if line and line not in lines]
    (out / "unlock.txt").write_text("\n".join(lines) + "\n")


main()
