//===- LoadMessage.cpp - Conversion of agent reports ----------------------===//
//
// See LoadMessage.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/LoadMessage.h"

namespace figlift::entry {

route::TargetLoad loadFromWire(const wire::Load &Message) {
  route::TargetLoad Load;
  Load.PrefillTokensWaiting[static_cast<size_t>(
      record::ServiceClass::Interactive)] = Message.prefill_tokens_waiting();
  Load.DecodeTokensWaiting = Message.decode_tokens_waiting();
  Load.RunningSequences = Message.running_sequences();
  Load.WaitingRequests = Message.waiting_requests();
  Load.MaximumSequences = Message.maximum_sequences();
  Load.KvTokensFree = Message.kv_tokens_free();
  Load.PrefillTokensPerSecond = Message.prefill_tokens_per_second();
  Load.DecodeTokensPerSecond = Message.decode_tokens_per_second();
  return Load;
}

membership::TargetReport reportFromWire(const wire::SyncDown &Message) {
  membership::TargetReport Report;
  Report.State = membership::agentStateFromName(Message.state());
  Report.Accepting = Message.load().accepting();
  Report.Role = Message.load().role();
  Report.Models.assign(Message.load().models().begin(),
                       Message.load().models().end());
  Report.PrefixHashes.assign(Message.prefix_hashes().begin(),
                             Message.prefix_hashes().end());
  Report.Revision = Message.revision_in_force();
  Report.HighestEpoch = Message.highest_epoch();
  Report.OrderId = Message.order_id();
  Report.RequestsInFlight = Message.requests_in_flight();
  return Report;
}

} // namespace figlift::entry
