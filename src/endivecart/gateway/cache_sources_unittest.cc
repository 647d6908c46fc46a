#include "endivecart/gateway/cache_sources.h"

#include <boost/test/unit_test.hpp>

namespace endivecart::gateway {
namespace {

using estimates::LinkGroup;
using estimates::TransferLines;

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

CacheLink LinkAt(int number, const std::string& domain, double mbps) {
  return {{"10.0.0." + std::to_string(number), 80},
          DomainId(domain),
          mbps,
          Millis(0),
          {mbps > 600000 ? "engines" : "stores", 1, 10}};
}

// A part of 10,000 tokens and 1 GB is transferred from a store in 16 ms and
// prefilled in 500 ms.
struct Task {
  Task() {
    task.engine = LinkAt(1, "a", 800000);
    task.bytes_per_token = 100000;
    task.prompt_tokens_per_ms = 20;
    task.latency_target = Millis(800);
    task.own_tokens = 1000;
    FetchablePart& part = task.parts.emplace_back();
    part.tokens = 10000;
  }
  void AddStore(int number, const std::string& domain) {
    task.parts[0].sources.push_back({LinkAt(number, domain, 500000), true});
  }
  void AddHome(double probability) {
    task.parts[0].sources.push_back({LinkAt(9, "a", 800000), false, true,
                                     probability,
                                     estimates::CacheEvidence::kUsedNow});
  }
  void MakeBusy(int number, double ms) {
    const CacheLink link = LinkAt(number, "a", 500000);
    lines.Add(link.address.ToString(), link.group, ms, At(0));
  }
  PlannedFetch Choose() const { return ChooseFetches(task, lines, At(0))[0]; }
  std::string Kind() const {
    return std::string(SourceKind(Choose(), task.engine.domain));
  }

  FetchTask task;
  TransferLines lines;
};

BOOST_FIXTURE_TEST_SUITE(gateway_cache_sources,
                         Task,
                         *boost::unit_test::label("gateway"))

// Guards against queues at the store that the catalogue happens to list first.
BOOST_AUTO_TEST_CASE(of_two_stores_the_one_with_the_shorter_queue_is_used) {
  AddStore(2, "a");
  AddStore(3, "a");
  MakeBusy(2, 100);
  BOOST_CHECK(Choose().source->link == LinkAt(3, "a", 500000));
  MakeBusy(3, 200);
  BOOST_CHECK(Choose().source->link == LinkAt(2, "a", 500000));
}

// Guards against transfers between domains, which occupy links for twice as
// long, while a near store is as free.
BOOST_AUTO_TEST_CASE(a_store_in_the_own_domain_is_preferred) {
  AddStore(2, "b");
  AddStore(3, "a");
  BOOST_TEST(Kind() == "near_store");
  BOOST_TEST(Choose().transfer_ms == 16);
  MakeBusy(3, 100);
  BOOST_TEST(Kind() == "far_store");
  BOOST_TEST(Choose().transfer_ms == 32);
}

// Guards against prefills after misses at an engine, and against use of the
// slower links of the few stores where an engine surely has the part.
BOOST_AUTO_TEST_CASE(
    the_home_is_preferred_only_if_it_most_likely_has_the_part) {
  AddStore(2, "b");
  AddHome(0.7);
  MakeBusy(2, 300);
  BOOST_TEST(Kind() == "far_store");
  task.parts[0].sources[1].probability = 0.99;
  BOOST_TEST(Kind() == "home");
  // No store has it: a miss costs a millisecond.
  task.parts[0].sources.erase(task.parts[0].sources.begin());
  task.parts[0].sources[0].probability = 0.3;
  BOOST_TEST(Kind() == "home");
}

// Guards against transfers of parts that the engine has.
BOOST_AUTO_TEST_CASE(no_source_is_named_for_a_part_in_the_engines_memory) {
  AddStore(2, "a");
  task.parts[0].memory_probability = 0.95;
  BOOST_TEST(Kind() == "memory");
  task.parts[0].memory_probability = 0.5;
  BOOST_TEST(Kind() == "near_store");
  BOOST_TEST(Choose().probability == 0.5);
}

// Guards against short prompts that miss their target in the queue behind the
// transfers of long ones.
BOOST_AUTO_TEST_CASE(a_short_prompt_does_not_wait_behind_a_long_transfer) {
  task.parts[0].tokens = 1000;  // 50 ms of prefill
  AddStore(2, "a");
  MakeBusy(2, 500);
  BOOST_TEST(Kind() == "near_store");  // in time
  MakeBusy(2, 500);
  BOOST_TEST(Kind() == "prefill");
  // Many long prefills would delay all other requests at the engine.
  task.parts[0].tokens = 2000;
  BOOST_TEST(Kind() == "near_store");
}

// Guards against plans that count on all parts of a prompt being transferred at
// the same time.
BOOST_AUTO_TEST_CASE(later_parts_wait_for_the_earlier_ones) {
  AddStore(2, "a");
  AddStore(3, "a");
  task.parts.push_back(task.parts[0]);
  const auto fetches = ChooseFetches(task, lines, At(0));
  BOOST_TEST(fetches[0].wait_ms == 0);
  BOOST_TEST(fetches[1].wait_ms == 16);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
