#ifndef ENDIVECART_BASE_METRICS_H_
#define ENDIVECART_BASE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace endivecart {

// Latency histogram with logarithmic buckets from 0.01 ms to 10 minutes. Not
// thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Record(double millis);
  void Merge(const LatencyHistogram& other);
  std::uint64_t Count() const;
  double SumMillis() const;
  // Returns the upper edge of the bucket that holds the quantile `q` in [0, 1],
  // in ms; 0 if empty.
  double Quantile(double q) const;
  // Appends the series in Prometheus text format.
  void AppendPrometheus(std::string_view name,
                        std::string_view labels,
                        std::string& out) const;

 private:
  struct Data;
  std::unique_ptr<Data> data_;
};

// Returns `name="value"` as a label of a series, with the value escaped.
std::string MetricLabel(std::string_view name, std::string_view value);

// Counters, gauges and histograms by name and label list (`a="b",c="d"`).
// Thread-safe.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  void Add(std::string_view name,
           std::string_view labels = {},
           std::uint64_t count = 1);
  void Set(std::string_view name, std::string_view labels, double value);
  void Observe(std::string_view name, std::string_view labels, double millis);
  std::uint64_t CounterValue(std::string_view name,
                             std::string_view labels = {}) const;
  // Returns all series, including the counters of invariants and of rejected
  // input, in Prometheus text format.
  std::string PrometheusText() const;

 private:
  struct Data;
  std::unique_ptr<Data> data_;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_METRICS_H_
