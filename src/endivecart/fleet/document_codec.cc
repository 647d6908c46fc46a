#include "endivecart/fleet/document_codec.h"

#include <zstd.h>
#include <zstd_errors.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace endivecart::fleet {

namespace {

constexpr int kCompressionLevel = 3;
constexpr int kMinWindowLog = 10;  // ZSTD_WINDOWLOG_MIN
// Covers a base and a document of kMaxDocumentBytes.
constexpr int kMaxWindowLog = 27;

struct FreeContext {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// Matches reach back as far as the window does, so it must contain the base.
int WindowLog(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog,
                    kMaxWindowLog);
}

}  // namespace

std::string_view DocumentErrorName(DocumentErrorCode code) {
  switch (code) {
    case DocumentErrorCode::kTooLong:
      return "too_long";
    case DocumentErrorCode::kUnreadable:
      return "unreadable";
    case DocumentErrorCode::kOtherContent:
      return "other_content";
  }
  return "";
}

std::optional<wire::EncodedDocument> EncodeDocument(std::string_view document,
                                                    std::uint64_t base_version,
                                                    std::string_view base) {
  if (std::max(document.size(), base.size()) > kMaxDocumentBytes)
    return std::nullopt;
  const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  if (!context)
    return std::nullopt;
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLog(base.size() + document.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!base.empty())
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string frame(ZSTD_compressBound(document.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), frame.data(), frame.size(), document.data(),
                     document.size());
  if (ZSTD_isError(size) != 0)
    return std::nullopt;
  frame.resize(size);
  frame.shrink_to_fit();
  wire::EncodedDocument encoded;
  encoded.set_base_version(base_version);
  encoded.set_frame(std::move(frame));
  encoded.set_length(document.size());
  return encoded;
}

Result<std::string, DocumentErrorCode> DecodeDocument(
    const wire::EncodedDocument& encoded,
    std::string_view base) {
  if (encoded.length() > kMaxDocumentBytes)
    return Fail(DocumentErrorCode::kTooLong);
  const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  if (!context)
    return Fail(DocumentErrorCode::kUnreadable);
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  if (!base.empty())
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string document(encoded.length(), '\0');
  const std::size_t size =
      ZSTD_decompressDCtx(context.get(), document.data(), document.size(),
                          encoded.frame().data(), encoded.frame().size());
  if (ZSTD_getErrorCode(size) == ZSTD_error_checksum_wrong)
    return Fail(DocumentErrorCode::kOtherContent);
  if (ZSTD_isError(size) != 0)
    return Fail(DocumentErrorCode::kUnreadable);
  if (size != document.size())
    return Fail(DocumentErrorCode::kOtherContent);
  return document;
}

}  // namespace endivecart::fleet
