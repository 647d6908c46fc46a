#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "endivecart/duties/duties.h"

namespace endivecart::duties {
namespace {

using Counts = std::map<CustomerId, std::uint64_t>;

constexpr Millis kWindow{5000};

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

std::vector<UsageEntry> Entries(std::uint64_t window, std::uint64_t count) {
  return {{window, CustomerId("c"), count}};
}

BOOST_AUTO_TEST_SUITE(duties_usage_table, *boost::unit_test::label("duties"))

// Guards against counts that depend on how polls travel.
BOOST_AUTO_TEST_CASE(repeated_and_reordered_polls_change_nothing) {
  struct Poll {
    HostId host;
    std::uint64_t incarnation;
    std::vector<UsageEntry> entries;
    std::uint64_t until;
  };
  for (const int hosts : {6, 300}) {
    std::vector<Poll> polls;
    for (int host = 0; host < hosts; ++host) {
      const HostId id(std::to_string(host));
      for (std::uint64_t count = 1; count <= 4; ++count) {
        // The second process of the host continues where the first one ended.
        polls.push_back({id, 1, Entries(100, count), 500000 + count * 500});
        polls.push_back({id, 2, Entries(100, count), 502500 + count * 500});
      }
    }
    polls.insert(polls.end(), polls.begin(), polls.begin() + hosts);
    std::mt19937_64 random(7);
    std::shuffle(polls.begin(), polls.end(), random);
    UsageTable table(kWindow);
    for (const Poll& poll : polls)
      table.OnPoll(poll.host, poll.incarnation, poll.entries, poll.until,
                   At(0));
    const auto expected = static_cast<std::uint64_t>(hosts) * 8;
    BOOST_TEST((table.CountsOf(100) == Counts{{CustomerId("c"), expected}}));
  }
}

BOOST_AUTO_TEST_CASE(a_window_is_complete_once_all_hosts_reported_its_end) {
  UsageTable table(kWindow);
  BOOST_TEST(!table.IsComplete(100, At(0)));
  table.OnPoll(HostId("a"), 1, Entries(100, 3), 505000, At(0));
  BOOST_TEST(table.IsComplete(100, At(0)));
  table.OnPoll(HostId("b"), 1, {}, 504999, At(0));
  BOOST_TEST(!table.IsComplete(100, At(0)));
  table.OnPoll(HostId("b"), 1, {}, 505000, At(250));
  BOOST_TEST(table.IsComplete(100, At(250)));
  BOOST_TEST(!table.IsComplete(101, At(250)));
  // It knows no time yet.
  table.OnPoll(HostId("new"), 1, {}, 0, At(300));
  BOOST_TEST(!table.IsComplete(100, At(300)));
}

BOOST_AUTO_TEST_CASE(a_vanished_host_holds_nothing_up_and_its_counts_stay) {
  UsageTable table(kWindow);
  table.OnPoll(HostId("dead"), 1, Entries(100, 3), 502000, At(0));
  table.OnPoll(HostId("a"), 1, Entries(100, 4), 505000, At(4900));
  BOOST_TEST(!table.IsComplete(100, At(5000)));
  BOOST_TEST(table.IsComplete(100, At(5001)));
  BOOST_TEST((table.CountsOf(100) == Counts{{CustomerId("c"), 7}}));
}

BOOST_AUTO_TEST_CASE(a_window_of_which_no_host_told_is_unknown) {
  UsageTable table(kWindow);
  BOOST_TEST(!table.CountsOf(100).has_value());
  table.OnPoll(HostId("a"), 1, Entries(100, 4), 506000, At(0));
  // Nobody called in this one, as far as the host remembers.
  BOOST_TEST((table.CountsOf(99) == Counts()));
  BOOST_TEST(!table.CountsOf(101).has_value());
  // Longer ago than the host remembers.
  BOOST_TEST(!table.CountsOf(94).has_value());
}

BOOST_AUTO_TEST_CASE(forgotten_windows_stay_forgotten) {
  UsageTable table(kWindow);
  table.OnPoll(HostId("a"), 1, Entries(100, 4), 506000, At(0));
  table.Forget(101);
  table.OnPoll(HostId("a"), 1, Entries(100, 5), 507000, At(0));
  BOOST_TEST(!table.CountsOf(100).has_value());
}

// Guards against unbounded memory.
BOOST_AUTO_TEST_CASE(implausible_reports_are_ignored) {
  UsageTable table(kWindow);
  table.OnPoll(HostId("a"), 1, Entries(5000, 4), 506000, At(0));
  BOOST_TEST(!table.CountsOf(5000).has_value());
  const std::vector<UsageEntry> many(UsageTable::kMaxEntriesPerPoll + 1,
                                     Entries(100, 4).front());
  table.OnPoll(HostId("a"), 1, many, 507000, At(0));
  BOOST_TEST(table.dropped_polls() == 1u);
  BOOST_TEST((table.CountsOf(100) == Counts()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
