//===- CallerApi.cpp - HTTP routes for callers ----------------------------===//
//
// See CallerApi.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/CallerApi.h"

#include "figlift-entry/Call.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace figlift::entry {

namespace {

using Reader = std::function<Result<CallerRequest>(const http::Request &,
                                                   const ReadContext &)>;

/// Parts of the serving state that are read once per request.
struct Beginning {
  config::SnapshotPointer Configuration;
  std::optional<Error> NotReady;
};

Beginning beginningOf(const CallContext &With) {
  return With.State.read([](const ServingState &Now) {
    return Beginning{Now.Configuration, Now.NotReady};
  });
}

/// Every response names the configuration revision that its request was parsed
/// with, so that callers can see whether a change is in force.
void nameRevision(http::Exchange &Caller, const Beginning &Read) {
  Caller.addHeader("X-Figlift-Revision",
                   std::to_string(Read.Configuration->revision()));
}

void refuse(const CallContext &With, http::Exchange &Caller,
            const Error &Reason) {
  With.Metrics.recordEnd(Reason.Code);
  Caller.replyProblem(Reason);
}

http::Handler handlerOf(const CallContext &With,
                        std::chrono::milliseconds DefaultDeadline,
                        Reader Read) {
  return [&With, DefaultDeadline,
          Read = std::move(Read)](std::shared_ptr<http::Exchange> Caller) {
    const std::string FreshId = With.Ids.nextText();
    Caller->setRequestId(callerIdOf(Caller->request(), FreshId));
    const Beginning Now = beginningOf(With);
    nameRevision(*Caller, Now);
    // Checked before parsing: without configuration records every model would
    // be reported as unknown.
    if (Now.NotReady)
      return refuse(With, *Caller, *Now.NotReady);
    Result<CallerRequest> Request =
        Read(Caller->request(), {*Now.Configuration, DefaultDeadline, FreshId});
    if (!Request)
      return refuse(With, *Caller, Request.error());
    Call::start(With, std::move(Caller), std::move(Request.value()));
  };
}

http::Route post(std::string Path, http::Handler Handle) {
  return {"POST", std::move(Path), false, std::move(Handle), false};
}

void listModels(const CallContext &With, http::Exchange &Caller) {
  const Beginning Now = beginningOf(With);
  nameRevision(Caller, Now);
  nlohmann::ordered_json Models = nlohmann::ordered_json::array();
  for (const config::Item *Known : Now.Configuration->list("backEnd")) {
    const std::string &Name = Known->Stored.Name;
    const record::BackEnd *BackEnd = Now.Configuration->backEnd(Name);
    if (!BackEnd)
      continue;
    for (const record::ModelReference &Model : BackEnd->Models)
      Models.push_back({{"id", Name + "/" + Model.Name + "@" + Model.Version},
                        {"object", "model"},
                        {"owned_by", Name}});
  }
  http::Response Answer;
  Answer.Body =
      nlohmann::ordered_json{{"object", "list"}, {"data", Models}}.dump();
  Caller.reply(std::move(Answer));
}

} // namespace

std::vector<http::Route>
callerRoutes(const CallContext &With,
             std::chrono::milliseconds DefaultDeadline) {
  auto Completion = [&](CompletionApi Api) {
    return handlerOf(With, DefaultDeadline,
                     [Api](const http::Request &From, const ReadContext &How) {
                       return readCompletion(From, Api, How);
                     });
  };
  std::vector<http::Route> Routes;
  Routes.push_back(post("/v1/completions", Completion(CompletionApi::Text)));
  Routes.push_back(
      post("/v1/chat/completions", Completion(CompletionApi::Chat)));
  Routes.push_back({"GET", "/v1/models", false,
                    [&With](std::shared_ptr<http::Exchange> Caller) {
                      listModels(With, *Caller);
                    },
                    false});
  Routes.push_back({http::AnyMethod, std::string(ServicesPath), true,
                    handlerOf(With, DefaultDeadline, readServiceCall), false});
  return Routes;
}

} // namespace figlift::entry
