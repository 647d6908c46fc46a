#include <boost/test/unit_test.hpp>

#include "endivecart/duties/duties.h"

namespace endivecart::duties {
namespace {

constexpr std::uint64_t kUnixMs = 1767265200000;

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

BOOST_AUTO_TEST_SUITE(duties_true_time, *boost::unit_test::label("duties"))

// Guards against usage that is counted in another window because some machines'
// clocks jumped, that of the leader's own machine among them.
BOOST_AUTO_TEST_CASE(stepped_clocks_of_a_minority_change_nothing) {
  for (const int hosts : {7, 301}) {
    TrueTimeEstimator time;
    for (int ms = 0; ms < 60000; ms += 250) {
      for (int host = 0; host < hosts; ++host) {
        const bool is_stepped =
            ms >= 10000 && ms < 40000 && host < (hosts - 1) / 2;
        const int step = is_stepped ? (host % 4 == 0 ? -3000 : 7000) : 0;
        time.OnSample(HostId(std::to_string(host)),
                      kUnixMs + static_cast<std::uint64_t>(ms + step), At(ms));
      }
      if (ms >= 2000) {
        BOOST_TEST(time.UnixMs(At(ms)).value() ==
                   kUnixMs + static_cast<std::uint64_t>(ms));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(the_first_samples_alone_give_no_time) {
  TrueTimeEstimator time;
  BOOST_TEST(!time.UnixMs(At(0)).has_value());
  time.OnSample(HostId("own"), kUnixMs + 5000, At(0));
  BOOST_TEST(!time.UnixMs(At(60000)).has_value());
  time.OnSample(HostId("a"), kUnixMs + 60000, At(60000));
  time.OnSample(HostId("b"), kUnixMs + 60100, At(60100));
  BOOST_TEST(!time.UnixMs(At(60100)).has_value());
  const TimePoint settled = At(60000) + TrueTimeEstimator::kSettleTime;
  BOOST_TEST(time.UnixMs(settled).value() == kUnixMs + 61500);
}

BOOST_AUTO_TEST_CASE(hosts_that_vanished_are_forgotten) {
  TrueTimeEstimator time;
  for (const char* host : {"x", "y", "z"})
    time.OnSample(HostId(host), kUnixMs + 9000, At(0));
  for (int ms = 0; ms <= 62000; ms += 1000) {
    time.OnSample(HostId("a"), kUnixMs + static_cast<std::uint64_t>(ms),
                  At(ms));
  }
  BOOST_TEST(time.UnixMs(At(62000)).value() == kUnixMs + 62000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
