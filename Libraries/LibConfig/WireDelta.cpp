//===- WireDelta.cpp - Changes of the configuration on the wire -----------===//
//
// Field by field.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/WireDelta.h"

namespace figlift::config {

static void fill(const Entry &From, wire::Record &To) {
  To.set_kind(From.Kind);
  To.set_name(From.Name);
  To.set_version(From.Version);
  To.set_revision(From.Revision);
  To.set_withdrawn(From.Withdrawn);
  To.set_json(From.Text);
}

static Entry entryOf(const wire::Record &From) {
  return {From.kind(),     From.name(),      From.version(),
          From.revision(), From.withdrawn(), From.json()};
}

template <typename Message>
static void fillRecords(const Delta &From, Message &To) {
  To.set_full(From.Full);
  To.set_head_revision(From.Head);
  for (const Entry &Each : From.Entries)
    fill(Each, *To.add_records());
}

template <typename Message> static Delta deltaOf(const Message &From) {
  Delta Changes;
  Changes.Full = From.full();
  Changes.Head = From.head_revision();
  for (const wire::Record &Each : From.records())
    Changes.Entries.push_back(entryOf(Each));
  return Changes;
}

wire::SyncUp toSyncUp(const Delta &Changes, const std::string &EntryId) {
  wire::SyncUp Message;
  Message.set_entry_id(EntryId);
  Message.set_base_revision(Changes.Base);
  fillRecords(Changes, Message);
  return Message;
}

Delta fromSyncUp(const wire::SyncUp &Message) {
  Delta Changes = deltaOf(Message);
  Changes.Base = Message.base_revision();
  return Changes;
}

wire::ConfigurationReply toReply(const Delta &Changes) {
  wire::ConfigurationReply Message;
  fillRecords(Changes, Message);
  return Message;
}

Delta fromReply(const wire::ConfigurationReply &Message, uint64_t After) {
  Delta Changes = deltaOf(Message);
  Changes.Base = After;
  return Changes;
}

} // namespace figlift::config
