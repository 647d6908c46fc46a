#include "endivecart/fleet/quarantine_messages.h"

#include "endivecart/fleet/message_times.h"

namespace endivecart::fleet {

namespace {

using quarantine::BrokenRun;
using quarantine::PartList;
using quarantine::Quarantine;
using quarantine::SoundPart;

// Parts are compared as sorted lists; a peer may send them in any order.
PartList Parts(const google::protobuf::RepeatedPtrField<std::string>& parts) {
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

Quarantine ToQuarantine(const wire::QuarantineRecord& record, TimePoint now) {
  return {Parts(record.parts()), now - Millis(record.age_ms()),
          static_cast<int>(record.failed_trials()),
          now - Millis(record.asked_age_ms())};
}

SoundPart ToSound(const wire::SoundPartRecord& record, TimePoint now) {
  return {record.part(), now - Millis(record.age_ms())};
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
    findings.runs.push_back({record.upstream_run(), record.request(),
                             now - Millis(record.age_ms()),
                             Parts(record.parts())});
  }
  for (const wire::SoundPartRecord& record : message.sound())
    findings.sound.push_back(ToSound(record, now));
  for (const wire::QuarantineRecord& record : message.quarantines())
    findings.quarantines.push_back(ToQuarantine(record, now));
  return findings;
}

quarantine::Ruling FromWire(const wire::QuarantineRuling& message,
                            TimePoint now) {
  quarantine::Ruling ruling;
  for (const wire::QuarantineRecord& record : message.quarantines())
    ruling.quarantines.push_back(ToQuarantine(record, now));
  for (const wire::SoundPartRecord& record : message.sound())
    ruling.sound.push_back(ToSound(record, now));
  for (const std::string& part : message.questioned())
    ruling.questioned.push_back(part);
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
  for (const wire::QuarantineRecord& record : stored.quarantines())
    quarantines.push_back(ToQuarantine(record, now - elapsed));
  std::erase_if(quarantines, [now](const Quarantine& quarantine) {
    return quarantine.parts.empty() ||
           now - quarantine.asked_at > quarantine::QuarantineList::kForgetAfter;
  });
  return quarantines;
}

}  // namespace endivecart::fleet
