#include "endivecart/control/frame.h"

#include <Poco/Checksum.h>

#include <cstdint>
#include <optional>

namespace endivecart::control {

namespace {

constexpr std::uint32_t kMagic = 0x45444346;
constexpr std::size_t kHeaderBytes = 16;

std::uint32_t Crc(std::string_view data) {
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(data.data(), static_cast<unsigned>(data.size()));
  return checksum.checksum();
}

void AppendUint32(std::string& out, std::uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8)
    out += static_cast<char>((value >> shift) & 0xff);
}

std::uint32_t ReadUint32(std::string_view data, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    const auto byte = static_cast<unsigned char>(data[at + i]);
    value |= static_cast<std::uint32_t>(byte) << (8 * i);
  }
  return value;
}

// Returns the payload length if there is a well-formed header at `at`.
std::optional<std::size_t> HeaderAt(std::string_view file, std::size_t at) {
  if (at + kHeaderBytes > file.size() || ReadUint32(file, at) != kMagic ||
      Crc(file.substr(at, kHeaderBytes - 4)) != ReadUint32(file, at + 12)) {
    return std::nullopt;
  }
  return ReadUint32(file, at + 4);
}

std::optional<std::string_view> PayloadAt(std::string_view file,
                                          std::size_t at) {
  const auto length = HeaderAt(file, at);
  if (!length || at + kHeaderBytes + *length > file.size())
    return std::nullopt;
  const std::string_view payload = file.substr(at + kHeaderBytes, *length);
  return Crc(payload) == ReadUint32(file, at + 8) ? std::optional(payload)
                                                  : std::nullopt;
}

bool AnyFrameAfter(std::string_view file, std::size_t at) {
  for (std::size_t i = at; i + kHeaderBytes <= file.size(); ++i) {
    if (PayloadAt(file, i))
      return true;
  }
  return false;
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  AppendUint32(frame, kMagic);
  AppendUint32(frame, static_cast<std::uint32_t>(payload.size()));
  AppendUint32(frame, Crc(payload));
  AppendUint32(frame, Crc(frame));
  return frame.append(payload);
}

FrameScan ScanFrames(std::string_view file) {
  FrameScan scan;
  while (scan.valid_bytes < file.size()) {
    const auto payload = PayloadAt(file, scan.valid_bytes);
    if (!payload) {
      scan.end = AnyFrameAfter(file, scan.valid_bytes + 1)
                     ? FrameScanEnd::kDamaged
                     : FrameScanEnd::kTornTail;
      return scan;
    }
    scan.payloads.emplace_back(*payload);
    scan.valid_bytes += kHeaderBytes + payload->size();
  }
  return scan;
}

}  // namespace endivecart::control
