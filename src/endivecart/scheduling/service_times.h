#ifndef ENDIVECART_SCHEDULING_SERVICE_TIMES_H_
#define ENDIVECART_SCHEDULING_SERVICE_TIMES_H_

#include <functional>
#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// Estimates from a route's answers how long its requests take once sent.
class ServiceTimes {
 public:
  // `first_event`: time from sending to the first event, without the prefill of
  // the prompt; `rest`: from there to the end of the answer.
  void Add(const std::string& route, Millis first_event, Millis rest);
  // Recent shortest time to the first event; 0 if none is known.
  Millis ShortestFirstEvent(const std::string& route) const;
  // Recent mean time from the first event to the end; 0 if none is known.
  Millis MeanRest(const std::string& route) const;
  // Records for how long a caller waits. Returns how much of that its earlier
  // attempts have used: the difference to the customer's callers on this route
  // who wait longest. 0 unless most of these wait for the same time.
  Millis TimeUsedBefore(const std::string& route,
                        const CustomerId& customer,
                        Millis caller_timeout);
  // Forgets the routes for which `exists` returns false.
  void KeepOnly(const std::function<bool(const std::string&)>& exists);

 private:
  struct Times {
    double shortest_ms = -1;  // negative: unknown
    double rest_ms = -1;
  };
  // Of a customer's callers on a route.
  struct Timeouts {
    double longest_ms = 0;
    double number = 0;           // of recent callers
    double part_at_longest = 0;  // of these
  };

  std::map<std::string, Times> times_;
  std::map<std::string, std::map<CustomerId, Timeouts>> timeouts_;  // by route
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_SERVICE_TIMES_H_
