//===- WireDelta.cpp - Wire format of configuration changes ---------------===//
//
// Converts each field.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/WireDelta.h"

namespace figlift::config {

static void fill(const StoredRecord &Source, wire::Record &Output) {
  Output.set_kind(Source.Kind);
  Output.set_name(Source.Name);
  Output.set_version(Source.Version);
  Output.set_revision(Source.Revision);
  Output.set_withdrawn(Source.Withdrawn);
  Output.set_json(Source.Text);
}

static StoredRecord toStoredRecord(const wire::Record &Source) {
  return {Source.kind(),     Source.name(),      Source.version(),
          Source.revision(), Source.withdrawn(), Source.json()};
}

template <typename Message>
static void fillRecords(const Delta &Source, Message &Output) {
  Output.set_full(Source.Full);
  Output.set_head_revision(Source.Head);
  for (const StoredRecord &Record : Source.Records)
    fill(Record, *Output.add_records());
}

template <typename Message> static Delta deltaOf(const Message &Source) {
  Delta Changes;
  Changes.Full = Source.full();
  Changes.Head = Source.head_revision();
  for (const wire::Record &Record : Source.records())
    Changes.Records.push_back(toStoredRecord(Record));
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
