#include "endivecart/control/raft_log.h"

#include <utility>

namespace endivecart::control {

std::uint64_t RaftLog::TermAt(std::uint64_t index) const {
  if (index == snapshot_index_)
    return snapshot_term_;
  return Holds(index) ? At(index).term() : 0;
}

const wire::LogEntry& RaftLog::At(std::uint64_t index) const {
  return entries_[index - first_index()];
}

void RaftLog::Append(wire::LogEntry entry) {
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty())
    entries_.pop_back();
}

void RaftLog::CompactTo(std::uint64_t index, std::uint64_t term) {
  while (!entries_.empty() && first_index() <= index) {
    entries_.pop_front();
    ++snapshot_index_;
  }
  snapshot_index_ = index;
  snapshot_term_ = term;
}

void RaftLog::Reset(std::uint64_t index, std::uint64_t term) {
  entries_.clear();
  snapshot_index_ = index;
  snapshot_term_ = term;
}

}  // namespace endivecart::control
