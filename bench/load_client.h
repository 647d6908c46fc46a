#ifndef BENCH_LOAD_CLIENT_H_
#define BENCH_LOAD_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "endivecart/http/http.h"

namespace bench {

// A call for a streamed completion.
struct CompletionCall {
  std::string url;         // base URL of a host or a stand-in upstream
  std::string api_key;     // empty for a stand-in
  std::string class_name;  // empty: the plan's default
  std::string model = "quill";
  std::string version;  // for a stand-in only
  std::string prompt;
  int max_tokens = 32;
  endivecart::Millis timeout{30000};
};

struct CompletionResult {
  bool ok = false;       // the answer is complete and belongs to the prompt
  bool refused = false;  // an error whose status is "not-run"
  int status = 0;        // 0: no answer
  std::string error;     // error code, or a description
  double first_token_ms = 0;  // since the call's intended time
  double max_gap_ms = 0;      // longest time between two tokens
  int tokens = 0;
  int prompt_tokens = 0;
  int cached_tokens = 0;
  std::string served_version;
};

using Clock = std::chrono::steady_clock;

// Makes the call and checks the complete answer against the prompt.
CompletionResult CallCompletion(const CompletionCall& call,
                                endivecart::http::ClientPool& pool,
                                Clock::time_point intended);

// Polls `probe` until it returns true or `timeout` has passed. Returns its last
// result.
bool WaitFor(const std::function<bool()>& probe, endivecart::Millis timeout);

// POSTs `body` to a stand-in's /control path. Returns true if it was accepted.
bool Control(const std::string& url, const std::string& body);

// Returns a number from a stand-in's /stats, 0 if it isn't available.
double StandinStat(const std::string& url, const std::string& key);

}  // namespace bench

#endif  // BENCH_LOAD_CLIENT_H_
