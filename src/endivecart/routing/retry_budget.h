#ifndef ENDIVECART_ROUTING_RETRY_BUDGET_H_
#define ENDIVECART_ROUTING_RETRY_BUDGET_H_

namespace endivecart::routing {

// Allows retries and hedges as a fraction of successes, with a small reserve
// for quiet times. A pure core.
class RetryBudget {
 public:
  void OnSuccess();
  // Takes one retry from the budget, if there is one.
  bool TryTake();

 private:
  static constexpr double kPerSuccess = 0.1;
  static constexpr double kReserve = 10.0;

  double tokens_ = kReserve;
};

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_RETRY_BUDGET_H_
