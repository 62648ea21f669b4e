//===- OperatorJson.cpp - JSON of the operator API ------------------------===//
//
// One function for each object.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/OperatorJson.h"

namespace figlift::config {

OrderedJson jsonOf(const Item &Known) {
  OrderedJson Body = {{"kind", Known.Stored.Kind},
                      {"name", Known.Stored.Name},
                      {"version", Known.Stored.Version},
                      {"revision", Known.Stored.Revision},
                      {"withdrawn", Known.Stored.Withdrawn}};
  if (Known.Parsed)
    Body["schemaVersion"] = Known.Parsed->SchemaVersion;
  if (!Known.Unreadable.empty())
    Body["unreadable"] = Known.Unreadable;
  Body["text"] = Known.Stored.Text;
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
  http::Response Answer;
  Answer.Body =
      Body.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
  return Answer;
}

} // namespace figlift::config
