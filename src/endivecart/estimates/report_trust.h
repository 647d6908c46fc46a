#ifndef ENDIVECART_ESTIMATES_REPORT_TRUST_H_
#define ENDIVECART_ESTIMATES_REPORT_TRUST_H_

namespace endivecart::estimates {

// How far the times of work follow what upstreams report of their speed:
// moments of both, as logarithms, over recent samples.
class ReportTrust {
 public:
  void Add(double reported_log, double seen_log);
  // Returns which part of a report shows in the times of work, from 0 to 1.
  double Value() const;
  // Returns the recent mean of reports; they are meant relative to it.
  double reported_mean() const { return reported_mean_; }
  double seen_mean() const { return seen_mean_; }

 private:
  double samples_ = 0;
  double reported_mean_ = 0;
  double seen_mean_ = 0;
  double reported_variance_ = 0;
  double seen_variance_ = 0;
  double covariance_ = 0;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_REPORT_TRUST_H_
