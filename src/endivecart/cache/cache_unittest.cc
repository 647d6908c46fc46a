#include <boost/test/unit_test.hpp>

#include "endivecart/cache/cache.h"

namespace endivecart::cache {
namespace {

const PieceOwner kOwner{CustomerId("c1"), ModelId("m"), VersionId("v1")};
const std::string kPrompt(40000, 'x');

StoredPiece Stored(const std::string& name, std::uint64_t generation = 1) {
  return {name, generation, kOwner, 100, "sum"};
}

KeptPiece Kept(const char* name, const char* customer, double recompute_ms) {
  KeptPiece piece;
  piece.name = name;
  piece.customer = CustomerId(customer);
  piece.bytes = 100;
  piece.recompute_ms = recompute_ms;
  return piece;
}

BOOST_AUTO_TEST_SUITE(cache_pieces, *boost::unit_test::label("cache"))

BOOST_AUTO_TEST_CASE(
    names_differ_by_customer_model_version_and_all_text_before) {
  const PromptPieces base = CutPrompt(kOwner, kPrompt);
  BOOST_REQUIRE(base.pieces.size() == 2U);
  BOOST_TEST(base.tokens == 10000);
  for (const PieceOwner& other :
       {PieceOwner{CustomerId("c2"), ModelId("m"), VersionId("v1")},
        PieceOwner{CustomerId("c1"), ModelId("n"), VersionId("v1")},
        PieceOwner{CustomerId("c1"), ModelId("m"), VersionId("v2")}}) {
    const PromptPieces changed = CutPrompt(other, kPrompt);
    BOOST_TEST(changed.pieces[0].name != base.pieces[0].name);
  }
  std::string changed = kPrompt;
  changed[0] = 'y';
  BOOST_TEST(CutPrompt(kOwner, changed).pieces[1].name != base.pieces[1].name);
}

BOOST_AUTO_TEST_CASE(an_index_entry_of_another_customer_is_never_returned) {
  const PromptPieces prompt = CutPrompt(kOwner, kPrompt);
  StoreIndex index;
  StoredPiece foreign = Stored(prompt.pieces[0].name);
  foreign.owner.customer = CustomerId("c2");
  index.Add("s", foreign);
  int reports = 0;
  InvariantMonitor::Get().SetHandler([&](auto...) { ++reports; });
  BOOST_TEST(index.Find(prompt).empty());
  InvariantMonitor::Get().SetHandler(nullptr);
  BOOST_TEST(reports == 1);
}

BOOST_AUTO_TEST_CASE(a_prefix_ends_at_the_first_missing_piece) {
  const PromptPieces prompt = CutPrompt(kOwner, kPrompt);
  StoreIndex index;
  index.Add("s", Stored(prompt.pieces[1].name));
  BOOST_TEST(index.Find(prompt).empty());
  index.Add("s", Stored(prompt.pieces[0].name));
  const auto found = index.Find(prompt);
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST(found.front().tokens == 2 * kPieceTokens);
}

BOOST_AUTO_TEST_CASE(a_late_free_of_an_older_generation_changes_nothing) {
  const PromptPieces prompt = CutPrompt(kOwner, kPrompt);
  StoreIndex index;
  index.Add("s", Stored(prompt.pieces[0].name, 2));
  index.Drop("s", prompt.pieces[0].name, 1);
  BOOST_TEST(index.size() == 1U);
  index.Drop("s", prompt.pieces[0].name, 2);
  BOOST_TEST(index.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_lost_store_takes_its_entries_along) {
  const PromptPieces prompt = CutPrompt(kOwner, kPrompt);
  StoreIndex index;
  index.Add("s", Stored(prompt.pieces[0].name));
  index.Add("t", Stored(prompt.pieces[0].name));
  index.DropStore("s");
  BOOST_TEST(index.size() == 1U);
  BOOST_TEST(index.Find(prompt).front().store == "t");
}

BOOST_AUTO_TEST_CASE(a_full_store_sheds_least_value_but_no_customers_floor) {
  const std::vector<KeptPiece> pieces = {Kept("cheap", "small", 1),
                                         Kept("dear", "large", 100),
                                         Kept("mid", "large", 10)};
  const auto freed = ChooseToFree(pieces, 100, {{CustomerId("small"), 100}});
  BOOST_REQUIRE(freed.size() == 1U);
  BOOST_TEST(freed.front().name == "mid");
}

BOOST_AUTO_TEST_CASE(exports_wait_while_imports_use_the_link) {
  const TimePoint start(Millis(1000));
  LinkBudget link(1000000, start);
  BOOST_TEST(link.TryBookExport(1000, start));
  link.BookImport(500000, start);
  BOOST_TEST(!link.TryBookExport(1000, start + Millis(100)));
  BOOST_TEST(link.TryBookExport(1000, start + Millis(600)));
}

BOOST_AUTO_TEST_CASE(a_slowed_link_is_predicted_slow) {
  const TimePoint start(Millis(1000));
  LinkBudget link(1000000, start);
  const double before = link.ImportMillis(100000, start);
  for (int i = 0; i < 20; ++i)
    link.Observe(100000, 1000);
  BOOST_TEST(link.ImportMillis(100000, start) > 5 * before);
}

BOOST_AUTO_TEST_CASE(hints_are_bounded_and_forgotten_with_their_upstream) {
  EngineHints hints(2);
  const PromptPieces prompt = CutPrompt(kOwner, kPrompt);
  hints.Note(prompt, UpstreamId("u"), 7);
  BOOST_REQUIRE(hints.Find(prompt).size() == 1U);
  BOOST_TEST(hints.Find(prompt).front().tokens == 2 * kPieceTokens);
  hints.Forget(UpstreamId("u"));
  BOOST_TEST(hints.Find(prompt).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::cache
