#include "endivecart/fleet/document_codec.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace endivecart::fleet {
namespace {

// Text that hardly repeats itself.
std::string RandomText(std::size_t bytes, unsigned seed) {
  std::mt19937 random(seed);
  std::string text;
  for (std::size_t i = 0; i < bytes; ++i)
    text += static_cast<char>(' ' + random() % 90);
  return text;
}

BOOST_AUTO_TEST_SUITE(document_codec, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(the_size_of_a_difference_is_that_of_the_change) {
  const std::string base = RandomText(400000, 1);
  std::string document = base;
  document.replace(11, 1, "23");
  document.replace(300000, 20, RandomText(40, 2));
  const auto encoded = EncodeDocument(document, 7, base);
  BOOST_REQUIRE(encoded.has_value());
  BOOST_TEST(encoded->base_version() == 7u);
  BOOST_TEST(encoded->frame().size() < 1000u);
  const auto decoded = DecodeDocument(*encoded, base);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_CHECK(*decoded == document);
}

BOOST_AUTO_TEST_CASE(a_document_without_a_base_is_compressed) {
  std::string document;
  for (int i = 0; i < 1400; ++i)
    document += "{\"name\":\"r-" + std::to_string(i) + "\",\"attempts\":2}";
  for (const std::string& text : {document, std::string()}) {
    const auto encoded = EncodeDocument(text, 0, "");
    BOOST_REQUIRE(encoded.has_value());
    BOOST_TEST(encoded->frame().size() < text.size() / 4 + 20);
    const auto decoded = DecodeDocument(*encoded, "");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_CHECK(*decoded == text);
  }
}

BOOST_AUTO_TEST_CASE(a_difference_from_another_base_is_not_used) {
  const std::string base = RandomText(5000, 1);
  std::string other = base;
  other[100] = other[100] == 'x' ? 'y' : 'x';
  const auto encoded = EncodeDocument(base + "added", 7, base);
  BOOST_REQUIRE(encoded.has_value());
  BOOST_TEST(!DecodeDocument(*encoded, other));
  BOOST_TEST(!DecodeDocument(*encoded, base.substr(1)));
  BOOST_TEST(!DecodeDocument(*encoded, ""));
  BOOST_TEST(DecodeDocument(*encoded, base).has_value());
}

BOOST_AUTO_TEST_CASE(a_damaged_document_is_not_used) {
  const std::string base = RandomText(3000, 1);
  const std::string document = base + RandomText(300, 2);
  const auto encoded = EncodeDocument(document, 7, base);
  BOOST_REQUIRE(encoded.has_value());
  for (std::size_t i = 0; i < encoded->frame().size(); ++i) {
    for (const int mask : {1, 0x80, 0xff}) {
      wire::EncodedDocument damaged = *encoded;
      char& byte = (*damaged.mutable_frame())[i];
      byte = static_cast<char>(byte ^ mask);
      // Some bits of a frame have no effect on its content.
      const auto decoded = DecodeDocument(damaged, base);
      BOOST_CHECK(!decoded || *decoded == document);
    }
  }
  wire::EncodedDocument cut = *encoded;
  cut.mutable_frame()->pop_back();
  BOOST_TEST(!DecodeDocument(cut, base));
}

BOOST_AUTO_TEST_CASE(another_length_or_checksum_is_an_error) {
  const auto encoded = EncodeDocument("document", 0, "");
  BOOST_REQUIRE(encoded.has_value());
  wire::EncodedDocument other = *encoded;
  other.mutable_frame()->back() ^= 1;  // the frame ends with the checksum
  BOOST_CHECK(DecodeDocument(other, "").error() ==
              DocumentErrorCode::kOtherContent);
  other = *encoded;
  other.set_length(encoded->length() + 1);
  BOOST_CHECK(DecodeDocument(other, "").error() ==
              DocumentErrorCode::kOtherContent);
  other.set_length(encoded->length() - 1);
  BOOST_TEST(!DecodeDocument(other, ""));
  other.set_length(kMaxDocumentBytes + 1);
  BOOST_CHECK(DecodeDocument(other, "").error() == DocumentErrorCode::kTooLong);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
