//===- Snapshot.cpp - The configuration at one revision -------------------===//
//
// Applying changes and looking records up.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/Snapshot.h"

namespace figlift::config {

SnapshotPointer Snapshot::empty() { return std::make_shared<Snapshot>(); }

SnapshotPointer Snapshot::with(const Delta &Changes) const {
  bool Gap = !Changes.Full && Changes.Base > m_Revision;
  if (Gap || Changes.Head <= m_Revision)
    return nullptr;
  auto Next = std::make_shared<Snapshot>(*this);
  Next->m_Revision = Changes.Head;
  for (const Entry &Each : Changes.Entries)
    Next->put(Each);
  return Next;
}

/// Entries carry the revision that wrote them, so an older state of a record
/// never replaces a newer one, in whatever order deltas arrive.
void Snapshot::put(const Entry &Changed) {
  Item &Known = m_Items[{Changed.Kind, Changed.Name}];
  if (Changed.Revision <= Known.Stored.Revision)
    return;
  Known.Stored = Changed;
  Known.Unreadable.clear();
  if (Changed.Withdrawn) {
    Known.Parsed = nullptr;
    return;
  }
  auto Parsed = record::parseRecord(Changed.Text);
  if (Parsed && Parsed.value().Kind == Changed.Kind &&
      Parsed.value().Name == Changed.Name)
    Known.Parsed =
        std::make_shared<const record::Record>(std::move(Parsed).value());
  else
    Known.Unreadable =
        Parsed ? "the text names another record" : Parsed.error().Message;
}

Delta Snapshot::diffSince(uint64_t Revision) const {
  Delta Changes;
  Changes.Base = Revision;
  Changes.Head = m_Revision;
  Changes.Full = Revision == 0;
  for (const auto &[Key, Known] : m_Items)
    if (Known.Stored.Revision > Revision)
      Changes.Entries.push_back(Known.Stored);
  return Changes;
}

const Item *Snapshot::find(std::string_view Kind, std::string_view Name) const {
  auto Found = m_Items.find({std::string(Kind), std::string(Name)});
  return Found == m_Items.end() ? nullptr : &Found->second;
}

std::vector<const Item *> Snapshot::list(std::string_view Kind) const {
  std::vector<const Item *> Found;
  for (const auto &[Key, Known] : m_Items)
    if (Kind.empty() || Key.first == Kind)
      Found.push_back(&Known);
  return Found;
}

const record::Specification *
Snapshot::specification(std::string_view Kind, std::string_view Name) const {
  const Item *Found = find(Kind, Name);
  return Found && Found->Parsed ? &Found->Parsed->Spec : nullptr;
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
  const auto *Wish =
      Spec ? std::get_if<record::TargetDesiredState>(Spec) : nullptr;
  return Wish ? Wish->Intent : record::TargetIntent::Serve;
}

} // namespace figlift::config
