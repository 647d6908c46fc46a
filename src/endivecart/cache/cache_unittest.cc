#include <boost/test/unit_test.hpp>

#include "endivecart/cache/cache.h"

namespace endivecart::cache {
namespace {

const PieceOwner kOwner{CustomerId("c1"), ModelId("m"), VersionId("v1")};
const std::string kPrompt(40000, 'x');

StoredPiece MakeStored(const std::string& name, std::uint64_t generation = 1) {
  return {name, generation, kOwner, 100, "sum"};
}

PieceUsage MakeUsage(const char* name,
                     const char* customer,
                     double recompute_ms) {
  PieceUsage piece;
  piece.name = name;
  piece.customer = CustomerId(customer);
  piece.bytes = 100;
  piece.recompute_ms = recompute_ms;
  return piece;
}

BOOST_AUTO_TEST_SUITE(cache_pieces, *boost::unit_test::label("cache"))

BOOST_AUTO_TEST_CASE(
    piece_names_depend_on_customer_model_version_and_preceding_text) {
  const PromptPieces base = SplitPrompt(kOwner, kPrompt);
  BOOST_REQUIRE(base.pieces.size() == 2U);
  BOOST_TEST(base.tokens == 10000);
  for (const PieceOwner& other :
       {PieceOwner{CustomerId("c2"), ModelId("m"), VersionId("v1")},
        PieceOwner{CustomerId("c1"), ModelId("n"), VersionId("v1")},
        PieceOwner{CustomerId("c1"), ModelId("m"), VersionId("v2")}}) {
    const PromptPieces changed = SplitPrompt(other, kPrompt);
    BOOST_TEST(changed.pieces[0].name != base.pieces[0].name);
  }
  std::string changed = kPrompt;
  changed[0] = 'y';
  BOOST_TEST(SplitPrompt(kOwner, changed).pieces[1].name !=
             base.pieces[1].name);
}

BOOST_AUTO_TEST_CASE(an_index_entry_of_another_customer_is_never_returned) {
  const PromptPieces prompt = SplitPrompt(kOwner, kPrompt);
  StoreIndex index;
  StoredPiece foreign = MakeStored(prompt.pieces[0].name);
  foreign.owner.customer = CustomerId("c2");
  index.Add("s", foreign);
  int reports = 0;
  InvariantMonitor::Get().SetHandler([&](auto...) { ++reports; });
  BOOST_TEST(index.Find(prompt).empty());
  InvariantMonitor::Get().SetHandler(nullptr);
  BOOST_TEST(reports == 1);
}

BOOST_AUTO_TEST_CASE(a_prefix_ends_at_the_first_missing_piece) {
  const PromptPieces prompt = SplitPrompt(kOwner, kPrompt);
  StoreIndex index;
  index.Add("s", MakeStored(prompt.pieces[1].name));
  BOOST_TEST(index.Find(prompt).empty());
  index.Add("s", MakeStored(prompt.pieces[0].name));
  const auto found = index.Find(prompt);
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST(found.front().tokens == 2 * kPieceTokens);
}

BOOST_AUTO_TEST_CASE(a_late_free_of_an_older_generation_is_ignored) {
  const PromptPieces prompt = SplitPrompt(kOwner, kPrompt);
  StoreIndex index;
  index.Add("s", MakeStored(prompt.pieces[0].name, 2));
  index.Drop("s", prompt.pieces[0].name, 1);
  BOOST_TEST(index.size() == 1U);
  index.Drop("s", prompt.pieces[0].name, 2);
  BOOST_TEST(index.size() == 0U);
}

BOOST_AUTO_TEST_CASE(removing_a_store_removes_its_entries) {
  const PromptPieces prompt = SplitPrompt(kOwner, kPrompt);
  StoreIndex index;
  index.Add("s", MakeStored(prompt.pieces[0].name));
  index.Add("t", MakeStored(prompt.pieces[0].name));
  index.DropStore("s");
  BOOST_TEST(index.size() == 1U);
  BOOST_TEST(index.Find(prompt).front().store == "t");
}

BOOST_AUTO_TEST_CASE(
    eviction_frees_the_least_valuable_piece_above_customer_floors) {
  const std::vector<PieceUsage> pieces = {MakeUsage("cheap", "small", 1),
                                          MakeUsage("expensive", "large", 100),
                                          MakeUsage("mid", "large", 10)};
  const auto freed = SelectEvictions(pieces, 100, {{CustomerId("small"), 100}});
  BOOST_REQUIRE(freed.size() == 1U);
  BOOST_TEST(freed.front().name == "mid");
}

BOOST_AUTO_TEST_CASE(exports_wait_while_imports_use_the_link) {
  const TimePoint start(Millis(1000));
  LinkBudget link(1000000, start);
  BOOST_TEST(link.TryReserveExport(1000, start));
  link.ReserveImport(500000, start);
  BOOST_TEST(!link.TryReserveExport(1000, start + Millis(100)));
  BOOST_TEST(link.TryReserveExport(1000, start + Millis(600)));
}

BOOST_AUTO_TEST_CASE(import_predictions_follow_a_slower_link) {
  const TimePoint start(Millis(1000));
  LinkBudget link(1000000, start);
  const double before = link.ImportMillis(100000, start);
  for (int i = 0; i < 20; ++i)
    link.Observe(100000, 1000);
  BOOST_TEST(link.ImportMillis(100000, start) > 5 * before);
}

BOOST_AUTO_TEST_CASE(hints_are_removed_with_their_upstream) {
  EngineHints hints(2);
  const PromptPieces prompt = SplitPrompt(kOwner, kPrompt);
  hints.RecordPrompt(prompt, UpstreamId("u"), 7);
  BOOST_REQUIRE(hints.Find(prompt).size() == 1U);
  BOOST_TEST(hints.Find(prompt).front().tokens == 2 * kPieceTokens);
  hints.RemoveUpstream(UpstreamId("u"));
  BOOST_TEST(hints.Find(prompt).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::cache
