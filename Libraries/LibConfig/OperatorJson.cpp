//===- OperatorJson.cpp - JSON of the operator API ------------------------===//
//
// One function for each type of object.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/OperatorJson.h"

namespace figlift::config {

OrderedJson jsonOf(const SnapshotRecord &Record) {
  OrderedJson Body = {{"kind", Record.Stored.Kind},
                      {"name", Record.Stored.Name},
                      {"version", Record.Stored.Version},
                      {"revision", Record.Stored.Revision},
                      {"withdrawn", Record.Stored.Withdrawn}};
  if (Record.Parsed)
    Body["schemaVersion"] = Record.Parsed->SchemaVersion;
  if (!Record.Unreadable.empty())
    Body["unreadable"] = Record.Unreadable;
  Body["text"] = Record.Stored.Text;
  return Body;
}

OrderedJson jsonOf(const TargetStatus &Target) {
  const TargetLoad &Load = Target.Load;
  return {{"id", Target.Id},
          {"backEnd", Target.BackEnd},
          {"zone", Target.Zone},
          {"state", Target.State},
          {"revisionInForce", Target.RevisionInForce},
          {"role", Target.Role},
          {"requestsInFlight", Target.RequestsInFlight},
          {"load",
           {{"prefillTokensWaiting", Load.PrefillTokensWaiting},
            {"runningSequences", Load.RunningSequences},
            {"waitingRequests", Load.WaitingRequests},
            {"kvTokensFree", Load.KvTokensFree}}}};
}

OrderedJson jsonOf(const EntryStatus &Entry) {
  return {{"id", Entry.Id},
          {"state", Entry.State},
          {"revisionInForce", Entry.RevisionInForce}};
}

OrderedJson jsonOf(const ChangeOutcome &Outcome) {
  OrderedJson Body = {{"revision", Outcome.Revision},
                      {"records", OrderedJson::array()}};
  for (const auto &[Kind, Name, Version] : Outcome.Records)
    Body["records"].push_back(
        {{"kind", Kind}, {"name", Name}, {"version", Version}});
  return Body;
}

http::Response jsonResponse(const OrderedJson &Body) {
  http::Response Response;
  Response.Body =
      Body.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
  return Response;
}

} // namespace figlift::config
