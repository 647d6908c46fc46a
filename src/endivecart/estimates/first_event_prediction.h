#ifndef ENDIVECART_ESTIMATES_FIRST_EVENT_PREDICTION_H_
#define ENDIVECART_ESTIMATES_FIRST_EVENT_PREDICTION_H_

namespace endivecart::estimates {

// Predicted time from sending a prompt to the first event of its answer.
struct FirstEventPrediction {
  double queue_ms = 0;     // prompts before it at the engine
  double steps_ms = 0;     // steps of the running batch
  double prefill_ms = 0;   // of what is neither cached nor fetched
  double transfer_ms = 0;  // of fetched parts, beyond the time in the queue
  double network_ms = 0;   // distance of the failure domain, and fixed costs
  double error_ms = 0;     // mean absolute error of recent predictions

  double total_ms() const {
    return queue_ms + steps_ms + prefill_ms + transfer_ms + network_ms;
  }
  bool operator==(const FirstEventPrediction&) const = default;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_FIRST_EVENT_PREDICTION_H_
