#include "endivecart/base/metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>

#include "endivecart/base/invariant.h"
#include "endivecart/base/rejected_input.h"

namespace endivecart {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 180;
constexpr double kLowestMillis = 0.01;
constexpr double kHighestMillis = 600000.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram =
    decltype(bh::make_histogram(Axis(kBuckets, kLowestMillis, kHighestMillis)));

using SeriesKey = std::pair<std::string, std::string>;

std::string Series(const SeriesKey& key) {
  return key.second.empty() ? key.first : key.first + "{" + key.second + "}";
}

}  // namespace

struct LatencyHistogram::Data {
  Histogram histogram =
      bh::make_histogram(Axis(kBuckets, kLowestMillis, kHighestMillis));
  std::uint64_t count = 0;
  double sum = 0;
};

LatencyHistogram::LatencyHistogram() : data_(std::make_unique<Data>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Record(double millis) {
  data_->histogram(millis);
  ++data_->count;
  data_->sum += millis;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  data_->histogram += other.data_->histogram;
  data_->count += other.data_->count;
  data_->sum += other.data_->sum;
}

std::uint64_t LatencyHistogram::Count() const {
  return data_->count;
}

double LatencyHistogram::SumMillis() const {
  return data_->sum;
}

double LatencyHistogram::Quantile(double q) const {
  if (data_->count == 0)
    return 0;
  const double target = q * static_cast<double>(data_->count);
  double cumulative = data_->histogram.at(-1);
  if (cumulative >= target)
    return kLowestMillis;
  for (unsigned i = 0; i < kBuckets; ++i) {
    cumulative += data_->histogram.at(static_cast<int>(i));
    if (cumulative >= target)
      return data_->histogram.axis().bin(static_cast<int>(i)).upper();
  }
  return kHighestMillis;
}

void LatencyHistogram::AppendPrometheus(std::string_view name,
                                        std::string_view labels,
                                        std::string& out) const {
  constexpr unsigned kBucketsPerSeriesLine = 6;
  const std::string prefix =
      labels.empty() ? std::string() : std::string(labels) + ",";
  const std::string base(name);
  double cumulative = data_->histogram.at(-1);
  for (unsigned i = 0; i < kBuckets; ++i) {
    cumulative += data_->histogram.at(static_cast<int>(i));
    if (i % kBucketsPerSeriesLine != kBucketsPerSeriesLine - 1)
      continue;
    const double upper =
        data_->histogram.axis().bin(static_cast<int>(i)).upper();
    out += base + "_bucket{" + prefix + "le=\"" + std::to_string(upper) +
           "\"} " + std::to_string(static_cast<std::uint64_t>(cumulative)) +
           "\n";
  }
  const std::string count = std::to_string(data_->count);
  const std::string braces =
      labels.empty() ? std::string() : "{" + std::string(labels) + "}";
  out += base + "_bucket{" + prefix + "le=\"+Inf\"} " + count + "\n";
  out += base + "_sum" + braces + " " + std::to_string(data_->sum) + "\n";
  out += base + "_count" + braces + " " + count + "\n";
}

std::string MetricLabel(std::string_view name, std::string_view value) {
  std::string out(name);
  out += "=\"";
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + '"';
}

struct MetricsRegistry::Data {
  mutable std::mutex mutex;
  std::map<SeriesKey, std::uint64_t> counters;
  std::map<SeriesKey, double> gauges;
  std::map<SeriesKey, LatencyHistogram> histograms;
};

MetricsRegistry::MetricsRegistry() : data_(std::make_unique<Data>()) {}
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::Add(std::string_view name,
                          std::string_view labels,
                          std::uint64_t count) {
  std::scoped_lock lock(data_->mutex);
  data_->counters[{std::string(name), std::string(labels)}] += count;
}

void MetricsRegistry::Set(std::string_view name,
                          std::string_view labels,
                          double value) {
  std::scoped_lock lock(data_->mutex);
  data_->gauges[{std::string(name), std::string(labels)}] = value;
}

void MetricsRegistry::Observe(std::string_view name,
                              std::string_view labels,
                              double millis) {
  std::scoped_lock lock(data_->mutex);
  data_->histograms[{std::string(name), std::string(labels)}].Record(millis);
}

std::uint64_t MetricsRegistry::CounterValue(std::string_view name,
                                            std::string_view labels) const {
  std::scoped_lock lock(data_->mutex);
  const auto it =
      data_->counters.find({std::string(name), std::string(labels)});
  return it == data_->counters.end() ? 0 : it->second;
}

std::string MetricsRegistry::PrometheusText() const {
  std::string out;
  for (int i = 0; i < static_cast<int>(Invariant::kCount); ++i) {
    const auto invariant = static_cast<Invariant>(i);
    out += "endivecart_invariant_violations_total{name=\"" +
           std::string(InvariantName(invariant)) + "\"} " +
           std::to_string(InvariantMonitor::Get().Violations(invariant)) + "\n";
  }
  for (int i = 0; i < static_cast<int>(InputSource::kCount); ++i) {
    const auto source = static_cast<InputSource>(i);
    out += "endivecart_rejected_input_total{" +
           MetricLabel("source", InputSourceName(source)) + "} " +
           std::to_string(RejectedInputMonitor::Get().Count(source)) + "\n";
  }
  std::scoped_lock lock(data_->mutex);
  for (const auto& [key, value] : data_->counters)
    out += Series(key) + " " + std::to_string(value) + "\n";
  for (const auto& [key, value] : data_->gauges)
    out += Series(key) + " " + std::to_string(value) + "\n";
  for (const auto& [key, value] : data_->histograms)
    value.AppendPrometheus(key.first, key.second, out);
  return out;
}

}  // namespace endivecart
