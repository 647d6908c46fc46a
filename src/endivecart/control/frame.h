#ifndef ENDIVECART_CONTROL_FRAME_H_
#define ENDIVECART_CONTROL_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace endivecart::control {

// Returns a frame of the log file: a header (magic, payload length, payload
// CRC-32, header CRC-32; four bytes each, little-endian), then the payload. One
// frame holds the records that are synced together.
std::string EncodeFrame(std::string_view payload);

enum class FrameScanEnd {
  kClean,
  kTornTail,  // the last frame is incomplete and was never synced
  kDamaged,   // a frame is unreadable, but valid ones follow
};

struct FrameScan {
  std::vector<std::string> payloads;
  std::size_t valid_bytes = 0;  // up to the end of the last valid frame
  FrameScanEnd end = FrameScanEnd::kClean;
};

// Decodes the frames from the start of `file` up to the first invalid one.
FrameScan ScanFrames(std::string_view file);

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_FRAME_H_
