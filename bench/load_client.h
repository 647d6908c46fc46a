#ifndef BENCH_LOAD_CLIENT_H_
#define BENCH_LOAD_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "endivecart/http/http.h"

namespace bench {

// One call for a streamed completion.
struct CompletionCall {
  std::string url;         // of a host, or of a stand-in upstream
  std::string api_key;     // empty for a stand-in
  std::string class_name;  // empty: the plan's own choice
  std::string model = "quill";
  std::string version;  // for a stand-in only
  std::string prompt;
  int max_tokens = 32;
  endivecart::Millis timeout{30000};
};

struct CompletionResult {
  bool ok = false;            // whole and the prompt's own
  bool refused = false;       // an error said to be not run
  int status = 0;             // 0: no answer
  std::string error;          // code of the error, or what went wrong
  double first_token_ms = 0;  // from the call's intended time
  double max_gap_ms = 0;
  int tokens = 0;
  int prompt_tokens = 0;
  int cached_tokens = 0;
  std::string served_version;
};

using Clock = std::chrono::steady_clock;

// Makes the call and checks the whole answer against the prompt.
CompletionResult CallCompletion(const CompletionCall& call,
                                endivecart::http::ClientPool& pool,
                                Clock::time_point intended);

// Waits until `probe` is true, at most `patience`.
bool WaitFor(const std::function<bool()>& probe, endivecart::Millis patience);

// POSTs `body` to a stand-in's control path.
bool Control(const std::string& url, const std::string& body);

// A number from a stand-in's /stats.
double StandinStat(const std::string& url, const std::string& key);

}  // namespace bench

#endif  // BENCH_LOAD_CLIENT_H_
