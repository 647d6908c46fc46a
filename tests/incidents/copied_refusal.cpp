// Servers that write a refusal once more where the next answer is due, against
// the real programs. Arguments: case, way of writing the copy, record. Exits
// with 1 if an order ran twice, or ran though its caller was told "not run".
#include <set>
#include <utility>

#include "../../review/site-2.hpp"

using namespace site;

namespace {

constexpr int kClients = 4;
constexpr int kOrdersPerClient = 30;
constexpr int kTimeoutMs = 4000;
const std::set<int> kPromises = {408, 421, 429, 503};

Site& hosts = *new Site();  // used till the end
std::string test_case;
std::string way;
std::mutex mutex;  // of what follows

struct Order {
  std::vector<int> statuses;      // of the caller's sends; 0: no answer
  std::vector<std::size_t> runs;  // the caller's send that each came with
  std::set<std::string> arrived_at;
  bool is_answered = false;
};
std::map<std::string, Order> orders;
int refusals = 0;
int copies_of_same = 0;   // written where the same order's answer was due
int copies_of_other = 0;  // where another order's was

// What is still to be written of the copies of refusals on a channel, by id.
using Copies = std::map<std::string, std::string>;

class FaultyServer {
 public:
  // Starts a server that runs until the script ends.
  FaultyServer(const std::string& service, const Address& address)
      : service_(service), address_(address) {
    Announce();
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    const int small = 8192;  // a large body is still being written then
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    ::setsockopt(listener, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const sockaddr_in own = ToSockaddr(address_);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) ||
        ::listen(listener, 256)) {
      ::_exit(2);
    }
    std::thread([this] {
      while (true) {
        reporter_.load()->ReportNow();
        for (int i = 0; i < 600 && !is_new_.exchange(false); ++i)
          SleepMs(2);
      }
    }).detach();
    std::thread([this, listener] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }

 private:
  // Takes a new id, which is reported at once.
  void Announce() {
    const std::string id = address_.ip + "-" + std::to_string(++generation_);
    reporter_ = std::make_shared<Server>(
        hosts, Server::Spec{id, service_, address_, "zone-a", "v1", 16, 0, ""});
    is_new_ = true;
  }
  // Returns the status of the refusal of a request; 0 if it is run.
  int Refusal(const Message& request) {
    const std::scoped_lock lock(mutex);
    const std::string id = request.Field("X-Attempt-Id");
    Order& order = orders[id];
    const bool is_first = order.arrived_at.empty();
    const bool is_first_here = order.arrived_at.insert(address_.ip).second;
    if (test_case == "successor" && is_first)
      Announce();
    if (request.Field("X-Expected-Instance") != reporter_.load()->spec().id)
      return 421;
    if (test_case == "callers-repeat" ? order.statuses.size() <= 2
        : test_case == "other-id"     ? is_first
                                      : is_first_here) {
      return test_case == "successor" || ++refusals % 2 == 0 ? 503 : 421;
    }
    order.runs.push_back(order.statuses.size() - 1);
    return 0;
  }
  // Returns what is to be written before the answer to a request.
  std::string TakeCopies(Copies& copies, const std::string& id) {
    const std::scoped_lock lock(mutex);
    std::string text;
    std::erase_if(copies, [&](const auto& copy) {
      const bool is_same = copy.first == id;
      const bool is_begun = way == "same-write" || way == "halves";
      if (!is_begun && is_same != (test_case != "other-id"))
        return false;
      ++(is_same ? copies_of_same : copies_of_other);
      record.Line("copy of %s to order %s", copy.first.c_str(), id.c_str());
      text += copy.second;
      return true;
    });
    return text;
  }
  void Serve(int fd) {
    Channel channel(fd);
    Copies copies;
    for (int number = 0; auto request = channel.ReadHead(NowMs() + 60000);) {
      const std::string id = request->Field("X-Attempt-Id");
      if (id.empty()) {  // a health probe
        const std::string own = reporter_.load()->spec().id;
        channel.Write(Server::AnswerText(*request, 200,
                                         "X-Instance-Id: " + own + "\r\n", ""));
        continue;
      }
      std::string text = TakeCopies(copies, id);
      if (way == "mid-body" || way == "halves")
        channel.Write(std::exchange(text, ""));
      channel.ReadBody(*request, false, NowMs() + kTimeoutMs);
      if (!request->complete)
        return;
      const int status = Refusal(*request);
      record.Line("order %s at %s: %d", id.c_str(), address_.ip.c_str(),
                  status);
      // The work; or until the hosts know the other server's successor.
      SleepMs(test_case == "successor" && status == 503 ? 400 : 10);
      if (way == "apart") {
        channel.Write(std::exchange(text, ""));
        SleepMs(5);
      }
      if (status == 0) {
        text += Server::AnswerText(*request, 200, "X-Server-Signature: s\r\n",
                                   "done");
        const bool ok = channel.Write(text);
        const std::scoped_lock lock(mutex);
        orders[id].is_answered |= ok;
        continue;
      }
      const std::string refusal = Server::AnswerText(
          *request, status, "X-Not-Executed: 1\r\n", "refused");
      text += refusal;
      if (way == "halves" && ++number % 2 == 0) {
        channel.Write(std::exchange(text, ""));
        SleepMs(1);  // the next request may be under way when the half comes
      }
      const std::size_t begun = way == "same-write" ? refusal.size()
                                : way == "halves"   ? refusal.size() / 2
                                                    : 0;
      channel.Write(text + refusal.substr(0, begun));
      copies[id] = refusal.substr(begun);
    }
  }

  const std::string service_;
  const Address address_;
  std::atomic<std::shared_ptr<Server>> reporter_;  // isn't started
  int generation_ = 0;
  std::atomic<bool> is_new_{false};
};

void RunClient(int client) {
  const std::string path = "/order" + std::to_string(client) + "/";
  const std::string body(way == "mid-body" ? 200'000 : 1, 'x');
  for (int i = 0; i < kOrdersPerClient; ++i) {
    const std::string id = NewAttemptId();
    const Fields fields = {{"Host", "pule25.example"},
                           {"X-Attempt-Id", id},
                           {"X-Deadline-Ms", std::to_string(kTimeoutMs)}};
    // At one host all the time, or at both in turn; refused twice.
    const int max_sends = test_case == "callers-repeat" ? 4 : 1;
    int status = 503;
    for (int sends = 0; sends < max_sends && kPromises.contains(status);
         ++sends) {
      {
        const std::scoped_lock lock(mutex);
        orders[id].statuses.push_back(0);
      }
      const int entry = (i + sends * (client % 2)) % 2;
      Channel channel;
      std::optional<Message> answer;
      if (channel.Connect(hosts.Entry(entry), 1000) &&
          channel.Write(RequestText("POST", path, fields, body)))
        answer = channel.Read(true, NowMs() + kTimeoutMs + 1500);
      status = answer && answer->complete ? answer->Status() : 0;
      record.Line("order %s from entry %d: %d", id.c_str(), entry, status);
      const std::scoped_lock lock(mutex);
      orders[id].statuses.back() = status;
    }
  }
}

// Prints what happened and returns whether a rule was broken.
bool Conclude() {
  int ran = 0, twice = 0, refused = 0, lost = 0, unserved = 0;
  const std::scoped_lock lock(mutex);
  for (const auto& [id, order] : orders) {
    const bool is_refused = std::ranges::any_of(order.runs, [&](std::size_t i) {
      return kPromises.contains(order.statuses[i]);
    });
    const bool is_served = order.statuses.back() == 200;
    const bool is_lost = order.is_answered && !is_served;
    ran += !order.runs.empty();
    twice += order.runs.size() > 1;
    refused += is_refused;
    lost += is_lost;
    unserved += !is_served;
    if (order.runs.size() > 1 || is_refused || is_lost)
      record.Line("bad: order %s ran %zu times", id.c_str(), order.runs.size());
  }
  std::printf(
      "%s %s: orders %zu, ran %d, copies before the same id %d, another %d; "
      "ran twice %d, refused but ran %d, answered but not 200 %d, "
      "not 200 %d\n",
      test_case.c_str(), way.c_str(), orders.size(), ran, copies_of_same,
      copies_of_other, twice, refused, lost, unserved);
  std::fflush(stdout);
  return twice + refused > 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3)
    return 2;
  test_case = argv[1];
  way = argv[2];
  record.Open(argc > 3 ? argv[3] : "/dev/null");
  LimitTime(110);
  for (int i = 0; i < hosts.controls() + hosts.entries(); ++i) {
    // As Site::StartAll(), but each order may be retried.
    Process& process = hosts.ControlProcess(i);
    process.folder = hosts.folder() + "/" + process.name;
    std::filesystem::create_directories(process.folder);
    hosts.WriteSettings(process, true);
    std::ifstream in(process.folder + "/boot.json");
    std::string text{std::istreambuf_iterator<char>(in), {}};
    text.replace(text.find("\"retry_ratio\": 0.2"), 18, "\"retry_ratio\": 10");
    std::ofstream(process.folder + "/boot.json") << text;
    hosts.Start(process);
  }
  // `successor` changes ids all the time: servers for each client.
  const int services = test_case == "successor" ? kClients : 1;
  std::vector<RouteSpec> routes;
  std::vector<std::string> names;
  for (int i = 0; i < kClients; ++i) {
    names.push_back("desk" + std::to_string(i));
    const std::string name = "order" + std::to_string(i);
    routes.push_back({name, "/" + name + "/", "unsafe", kTimeoutMs,
                      names[i % services], 3, ""});
  }
  for (int i = 0; i < 2 * services; ++i)
    new FaultyServer(names[i / 2], hosts.ServerAddress(i));
  const auto put = hosts.Operator("POST", "/Config.Replace",
                                  Manifest(7, routes, names), 30000);
  const bool is_up = put && put->Status() == 200 && hosts.WaitReady(15000);
  SleepMs(2500);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients && is_up; ++i)
    clients.emplace_back(RunClient, i);
  for (std::thread& client : clients)
    client.join();
  SleepMs(300);
  const bool is_broken = is_up && Conclude();
  hosts.Stop();
  ::_exit(!is_up ? 2 : is_broken ? 1 : 0);
}
