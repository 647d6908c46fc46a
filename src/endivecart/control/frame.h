#ifndef ENDIVECART_CONTROL_FRAME_H_
#define ENDIVECART_CONTROL_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace endivecart::control {

// Frames of the log file: a header (magic, payload length, payload checksum,
// header checksum; four bytes each, little-endian), then the payload. One
// frame holds what is synced together.
std::string EncodeFrame(std::string_view payload);

enum class FrameScanEnd {
  kClean,
  kTornTail,  // the last frame was not wholly written: it was never synced
  kDamaged,   // a frame is unreadable though later ones follow
};

struct FrameScan {
  std::vector<std::string> payloads;
  std::size_t good_bytes = 0;  // up to the end of the last good frame
  FrameScanEnd end = FrameScanEnd::kClean;
};

FrameScan ScanFrames(std::string_view file);

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_FRAME_H_
