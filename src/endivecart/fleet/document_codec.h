#ifndef ENDIVECART_FLEET_DOCUMENT_CODEC_H_
#define ENDIVECART_FLEET_DOCUMENT_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Longer documents are neither encoded nor decoded.
inline constexpr std::size_t kMaxDocumentBytes = 64UL << 20;

enum class DocumentErrorCode {
  kTooLong,       // states a length above kMaxDocumentBytes
  kUnreadable,    // the frame is damaged, or was made for another base
  kOtherContent,  // the result has another length or checksum than stated
};

std::string_view DocumentErrorName(DocumentErrorCode code);

// Returns `document` as a zstd frame that refers to the content of `base`, the
// document of version `base_version`; its size is about that of the difference.
// With base version 0 and an empty `base`, the frame stands alone. Returns
// nullopt if the document can't be encoded.
std::optional<wire::EncodedDocument> EncodeDocument(std::string_view document,
                                                    std::uint64_t base_version,
                                                    std::string_view base);

// Returns the decoded document, whose length and checksum have been verified.
// `base` must be the document of the version that `encoded` names.
Result<std::string, DocumentErrorCode> DecodeDocument(
    const wire::EncodedDocument& encoded,
    std::string_view base);

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_DOCUMENT_CODEC_H_
