#ifndef TESTS_CLIENTS_CROWD_H_
#define TESTS_CLIENTS_CROWD_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace tests {

// What one kind of client sends on each of its connections.
struct ClientForm {
  std::string name;
  std::string first;          // sent once
  std::string rest;           // then sent without end; may be empty
  std::size_t piece = 65536;  // bytes in one write
};

std::ostream& operator<<(std::ostream& out, const ClientForm& form);

// The limits that clients know, and the request that they begin.
struct ClientTarget {
  std::string request_line;  // without its end
  std::string body;          // the start of each body
  // Of complete requests, whose answers are not read.
  std::string complete_request_line;
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
};

// Returns all forms.
std::vector<ClientForm> AllForms(const ClientTarget& target);

// Clients that connect, send, read nothing, stay open, and connect again
// whenever the server closes.
class Crowd {
 public:
  // Client i uses form i modulo the number of forms.
  Crowd(std::string address,
        int port,
        std::vector<ClientForm> forms,
        std::size_t clients);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends for this time. Calls `sample` between the rounds of writes.
  void Run(std::chrono::milliseconds time, const std::function<void()>& sample);

 private:
  struct Client {
    const ClientForm* form = nullptr;
    int socket = -1;
    std::size_t sent = 0;
    std::size_t sent_of_rest = 0;  // modulo the size of `rest`
  };
  void Connect(Client& client) const;
  // Returns whether the connection is still open.
  static bool Write(Client& client);

  const std::string address_;
  const int port_;
  const std::vector<ClientForm> forms_;
  std::vector<Client> clients_;
};

}  // namespace tests

#endif  // TESTS_CLIENTS_CROWD_H_
