#include "endivecart/transport/peer_authenticator.h"

#include <array>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::transport {

namespace {

constexpr char kZapAddress[] = "inproc://zeromq.zap.01";
constexpr char kStopAddress[] = "inproc://zap.stop";
constexpr std::size_t kZapFrames = 7;  // of a CURVE request
constexpr std::size_t kRawKeyBytes = 32;

std::string EncodeKey(const zmq::message_t& raw) {
  if (raw.size() != kRawKeyBytes)
    return {};
  std::array<char, 41> text{};
  zmq_z85_encode(text.data(), raw.data<std::uint8_t>(), raw.size());
  return text.data();
}

}  // namespace

PeerAuthenticator::PeerAuthenticator(
    zmq::context_t& context,
    const std::vector<settings::HostEntry>& hosts)
    : requests_(context, zmq::socket_type::rep),
      stop_receiver_(context, zmq::socket_type::pair),
      stop_sender_(context, zmq::socket_type::pair) {
  for (const settings::HostEntry& host : hosts)
    host_by_key_.emplace(host.public_key, host.id.str());
  requests_.set(zmq::sockopt::linger, 0);
  requests_.bind(kZapAddress);
  stop_receiver_.bind(kStopAddress);
  stop_sender_.connect(kStopAddress);
  thread_ = std::thread([this] { Run(); });
}

PeerAuthenticator::~PeerAuthenticator() {
  stop_sender_.send(zmq::message_t(), zmq::send_flags::none);
  thread_.join();
}

void PeerAuthenticator::Run() {
  while (true) {
    zmq::pollitem_t items[] = {{requests_.handle(), 0, ZMQ_POLLIN, 0},
                               {stop_receiver_.handle(), 0, ZMQ_POLLIN, 0}};
    zmq::poll(items, 2, std::chrono::milliseconds(-1));
    if ((items[1].revents & ZMQ_POLLIN) != 0)
      return;
    HandleRequest();
  }
}

void PeerAuthenticator::HandleRequest() {
  std::vector<zmq::message_t> frames;
  do {
    frames.emplace_back();
    if (!requests_.recv(frames.back(), zmq::recv_flags::none))
      return;
  } while (frames.back().more());
  const std::string request_id =
      frames.size() > 1 ? frames[1].to_string() : std::string();
  const bool is_curve =
      frames.size() == kZapFrames && frames[5].to_string_view() == "CURVE";
  const auto known =
      is_curve ? host_by_key_.find(EncodeKey(frames[6])) : host_by_key_.end();
  const bool accepted = known != host_by_key_.end();
  if (!accepted) {
    LogLine("transport.stranger")
        .Add("address", frames.size() > 3 ? frames[3].to_string() : "")
        .Warn();
  }
  const std::array<std::string, 6> reply = {"1.0",
                                            request_id,
                                            accepted ? "200" : "400",
                                            accepted ? "OK" : "unknown key",
                                            accepted ? known->second : "",
                                            ""};
  for (std::size_t i = 0; i < reply.size(); ++i) {
    requests_.send(zmq::buffer(reply[i]), i + 1 < reply.size()
                                              ? zmq::send_flags::sndmore
                                              : zmq::send_flags::none);
  }
}

}  // namespace endivecart::transport
