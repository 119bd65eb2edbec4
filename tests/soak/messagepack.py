"""The part of MessagePack that operators, the platform and servers speak: null, booleans, numbers, texts, lists and maps."""

import struct


def pack(value):
    """Returns the encoded bytes of a value."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value) if value >= 0 else b"\xd3" + struct.pack(">q", value)
    if isinstance(value, float):
        return b"\xcb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return b"\xdb" + struct.pack(">I", len(data)) + data
    if isinstance(value, list):
        return b"\xdd" + struct.pack(">I", len(value)) + b"".join(map(pack, value))
    body = b"".join(pack(key) + pack(each) for key, each in value.items())
    return b"\xdf" + struct.pack(">I", len(value)) + body


_NUMBERS = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
            0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_TEXT_LENGTHS = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}
_LIST_LENGTHS = {0xDC: ">H", 0xDD: ">I"}
_MAP_LENGTHS = {0xDE: ">H", 0xDF: ">I"}


class _Reader:
    def __init__(self, data):
        self.data = data
        self.position = 0

    def take(self, form):
        size = struct.calcsize(form)
        (value,) = struct.unpack(form, self.data[self.position:self.position + size])
        self.position += size
        return value

    def text(self, length):
        out = self.data[self.position:self.position + length].decode()
        self.position += length
        return out

    def value(self):
        code = self.take(">B")
        if code < 0x80:
            return code
        if code >= 0xE0:
            return code - 0x100
        if code < 0x90:
            return self.map(code & 0x0F)
        if code < 0xA0:
            return [self.value() for _ in range(code & 0x0F)]
        if code < 0xC0:
            return self.text(code & 0x1F)
        if code == 0xC0:
            return None
        if code in (0xC2, 0xC3):
            return code == 0xC3
        if code in _NUMBERS:
            return self.take(_NUMBERS[code])
        if code in _TEXT_LENGTHS:
            return self.text(self.take(_TEXT_LENGTHS[code]))
        if code in _LIST_LENGTHS:
            return [self.value() for _ in range(self.take(_LIST_LENGTHS[code]))]
        return self.map(self.take(_MAP_LENGTHS[code]))

    def map(self, length):
        out = {}
        for _ in range(length):
            key = self.value()
            out[key] = self.value()
        return out


def unpack(data):
    """Returns the value that the bytes encode."""
    return _Reader(data).value()
