#include "endivecart/fleet/quarantine_messages.h"

#include <algorithm>
#include <utility>

#include "endivecart/fleet/message_times.h"

namespace endivecart::fleet {

namespace {

using quarantine::BrokenRun;
using quarantine::PartList;
using quarantine::Quarantine;
using quarantine::SoundPart;

bool AcceptPart(const std::string& part) {
  return AcceptName(InputSource::kPeer, "part", part);
}

// Parts are compared as sorted lists; a peer may send them in any order.
// Returns nullopt if one can't be used: the others alone would stand for more
// prompts.
std::optional<PartList> Parts(
    const google::protobuf::RepeatedPtrField<std::string>& parts) {
  if (!std::all_of(parts.begin(), parts.end(), AcceptPart))
    return std::nullopt;
  return quarantine::PartKeys({parts.begin(), parts.end()});
}

void AddTo(wire::QuarantineRecord& record,
           const Quarantine& quarantine,
           TimePoint now) {
  for (const std::string& part : quarantine.parts)
    record.add_parts(part);
  record.set_age_ms(AgeMillis(quarantine.since, now));
  record.set_failed_trials(
      static_cast<std::uint32_t>(quarantine.failed_trials));
  record.set_asked_age_ms(AgeMillis(quarantine.asked_at, now));
}

void AddTo(wire::SoundPartRecord& record,
           const SoundPart& sound,
           TimePoint now) {
  record.set_part(sound.part);
  record.set_age_ms(AgeMillis(sound.at, now));
}

// These append records that can be used.
void Append(
    const google::protobuf::RepeatedPtrField<wire::QuarantineRecord>& records,
    TimePoint now,
    std::vector<Quarantine>& quarantines) {
  for (const wire::QuarantineRecord& record : records) {
    if (auto parts = Parts(record.parts())) {
      quarantines.push_back({std::move(*parts), now - Millis(record.age_ms()),
                             static_cast<int>(record.failed_trials()),
                             now - Millis(record.asked_age_ms())});
    }
  }
}

void Append(
    const google::protobuf::RepeatedPtrField<wire::SoundPartRecord>& records,
    TimePoint now,
    std::vector<SoundPart>& sound) {
  for (const wire::SoundPartRecord& record : records) {
    if (AcceptPart(record.part()))
      sound.push_back({record.part(), now - Millis(record.age_ms())});
  }
}

}  // namespace

wire::QuarantineFindings ToWire(const quarantine::HostFindings& findings,
                                TimePoint now) {
  wire::QuarantineFindings message;
  for (const BrokenRun& run : findings.runs) {
    wire::BrokenRunRecord& record = *message.add_runs();
    record.set_upstream_run(run.upstream_run);
    record.set_request(run.request);
    record.set_age_ms(AgeMillis(run.at, now));
    for (const std::string& part : run.parts)
      record.add_parts(part);
  }
  for (const SoundPart& sound : findings.sound)
    AddTo(*message.add_sound(), sound, now);
  for (const Quarantine& quarantine : findings.quarantines)
    AddTo(*message.add_quarantines(), quarantine, now);
  return message;
}

wire::QuarantineRuling ToWire(const quarantine::Ruling& ruling, TimePoint now) {
  wire::QuarantineRuling message;
  for (const Quarantine& quarantine : ruling.quarantines)
    AddTo(*message.add_quarantines(), quarantine, now);
  for (const SoundPart& sound : ruling.sound)
    AddTo(*message.add_sound(), sound, now);
  for (const std::string& part : ruling.questioned)
    message.add_questioned(part);
  return message;
}

quarantine::HostFindings FromWire(const wire::QuarantineFindings& message,
                                  TimePoint now) {
  quarantine::HostFindings findings;
  for (const wire::BrokenRunRecord& record : message.runs()) {
    auto parts = Parts(record.parts());
    if (!parts ||
        !AcceptName(InputSource::kPeer, "upstream", record.upstream_run())) {
      continue;
    }
    findings.runs.push_back({record.upstream_run(), record.request(),
                             now - Millis(record.age_ms()), std::move(*parts)});
  }
  Append(message.sound(), now, findings.sound);
  Append(message.quarantines(), now, findings.quarantines);
  return findings;
}

quarantine::Ruling FromWire(const wire::QuarantineRuling& message,
                            TimePoint now) {
  quarantine::Ruling ruling;
  Append(message.quarantines(), now, ruling.quarantines);
  Append(message.sound(), now, ruling.sound);
  for (const std::string& part : message.questioned()) {
    if (AcceptPart(part))
      ruling.questioned.push_back(part);
  }
  return ruling;
}

std::string ToStored(const std::vector<Quarantine>& quarantines,
                     TimePoint now,
                     std::uint64_t unix_ms) {
  wire::StoredQuarantines stored;
  stored.set_saved_ms(unix_ms);
  for (const Quarantine& quarantine : quarantines)
    AddTo(*stored.add_quarantines(), quarantine, now);
  return stored.SerializeAsString();
}

std::vector<Quarantine> FromStored(const std::string& contents,
                                   TimePoint now,
                                   std::uint64_t unix_ms) {
  wire::StoredQuarantines stored;
  if (!stored.ParseFromString(contents)) {
    LogLine("quarantine.file_unreadable").Warn();
    return {};
  }
  // The time of day may have been set back.
  const Millis elapsed(unix_ms > stored.saved_ms()
                           ? static_cast<Millis::rep>(unix_ms) -
                                 static_cast<Millis::rep>(stored.saved_ms())
                           : 0);
  std::vector<Quarantine> quarantines;
  Append(stored.quarantines(), now - elapsed, quarantines);
  std::erase_if(quarantines, [now](const Quarantine& quarantine) {
    return quarantine.parts.empty() ||
           now - quarantine.asked_at > quarantine::QuarantineList::kForgetAfter;
  });
  return quarantines;
}

}  // namespace endivecart::fleet
