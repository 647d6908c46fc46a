#ifndef ENDIVECART_ROUTING_RETRY_BUDGET_H_
#define ENDIVECART_ROUTING_RETRY_BUDGET_H_

namespace endivecart::routing {

// Limits retries and hedged requests to a fraction of the successful requests,
// plus a small reserve for times of low traffic. Does no I/O.
class RetryBudget {
 public:
  void OnSuccess();
  // Takes one retry from the budget. Returns false if it is exhausted.
  bool TryTake();

 private:
  static constexpr double kPerSuccess = 0.1;
  static constexpr double kReserve = 10.0;

  double tokens_ = kReserve;
};

}  // namespace endivecart::routing

#endif  // ENDIVECART_ROUTING_RETRY_BUDGET_H_
