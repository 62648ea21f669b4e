//===- Snapshot.cpp - The configuration at one revision -------------------===//
//
// Applies changes and looks up records.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/Snapshot.h"

namespace figlift::config {

SnapshotPointer Snapshot::empty() { return std::make_shared<Snapshot>(); }

SnapshotPointer Snapshot::apply(const Delta &Changes) const {
  bool HasGap = !Changes.Full && Changes.Base > m_Revision;
  if (HasGap || Changes.Head <= m_Revision)
    return nullptr;
  auto Next = std::make_shared<Snapshot>(*this);
  Next->m_Revision = Changes.Head;
  for (const StoredRecord &Changed : Changes.Records)
    Next->put(Changed);
  return Next;
}

/// Each record carries the revision that wrote it, so that an older state never
/// replaces a newer one, regardless of the sequence in which deltas arrive.
void Snapshot::put(const StoredRecord &Changed) {
  SnapshotRecord &Record = m_Records[{Changed.Kind, Changed.Name}];
  if (Changed.Revision <= Record.Stored.Revision)
    return;
  Record.Stored = Changed;
  Record.Unreadable.clear();
  if (Changed.Withdrawn) {
    Record.Parsed = nullptr;
    return;
  }
  auto Parsed = record::parseRecord(Changed.Text);
  if (Parsed && Parsed.value().Kind == Changed.Kind &&
      Parsed.value().Name == Changed.Name)
    Record.Parsed =
        std::make_shared<const record::Record>(std::move(Parsed).value());
  else
    Record.Unreadable =
        Parsed ? "the text names another record" : Parsed.error().Message;
}

Delta Snapshot::diffSince(uint64_t Revision) const {
  Delta Changes;
  Changes.Base = Revision;
  Changes.Head = m_Revision;
  Changes.Full = Revision == 0;
  for (const auto &[Key, Record] : m_Records)
    if (Record.Stored.Revision > Revision)
      Changes.Records.push_back(Record.Stored);
  return Changes;
}

const SnapshotRecord *Snapshot::find(std::string_view Kind,
                                     std::string_view Name) const {
  auto Record = m_Records.find({std::string(Kind), std::string(Name)});
  return Record == m_Records.end() ? nullptr : &Record->second;
}

std::vector<const SnapshotRecord *>
Snapshot::list(std::string_view Kind) const {
  std::vector<const SnapshotRecord *> Records;
  for (const auto &[Key, Record] : m_Records)
    if (Kind.empty() || Key.first == Kind)
      Records.push_back(&Record);
  return Records;
}

const record::Specification *
Snapshot::specification(std::string_view Kind, std::string_view Name) const {
  const SnapshotRecord *Record = find(Kind, Name);
  return Record && Record->Parsed ? &Record->Parsed->Spec : nullptr;
}

const record::BackEnd *Snapshot::backEnd(std::string_view Name) const {
  const auto *Spec = specification("backEnd", Name);
  return Spec ? std::get_if<record::BackEnd>(Spec) : nullptr;
}

const record::Workspace *Snapshot::workspace(std::string_view Name) const {
  const auto *Spec = specification("workspace", Name);
  return Spec ? std::get_if<record::Workspace>(Spec) : nullptr;
}

record::TargetIntent Snapshot::targetIntent(std::string_view VmId) const {
  const auto *Spec = specification("target", VmId);
  const auto *Requested =
      Spec ? std::get_if<record::TargetDesiredState>(Spec) : nullptr;
  return Requested ? Requested->Intent : record::TargetIntent::Serve;
}

} // namespace figlift::config
