//===- OperatorService.cpp - The operator API -----------------------------===//
//
// Routing, parsing of requests, and the thread that executes writes.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/OperatorService.h"

#include "LibConfig/ChangeRunner.h"
#include "LibConfig/OperatorJson.h"
#include "LibHttp/JsonBody.h"
#include "LibHttp/Problem.h"
#include "LibRecord/RecordText.h"

#include <algorithm>
#include <charconv>

namespace figlift::config {

using Json = nlohmann::json;

static http::Response problem(ResultCode Code, std::string Message,
                              std::string Field = {}) {
  return http::problemResponse(
      {Code, std::move(Message), std::move(Field), std::nullopt}, "");
}

static http::Response unknownPath() {
  auto Response = problem(ResultCode::InvalidInput, "unknown path or method");
  Response.Status = 404;
  return Response;
}

static std::vector<std::string> segmentsOf(std::string_view Path) {
  std::vector<std::string> Segments;
  Path.remove_prefix(std::min(OperatorPathPrefix.size(), Path.size()));
  while (!Path.empty()) {
    auto Slash = Path.find('/');
    Segments.emplace_back(Path.substr(0, Slash));
    if (Slash == std::string_view::npos)
      break;
    Path.remove_prefix(Slash + 1);
  }
  return Segments;
}

OperatorService::OperatorService(OperatorContext Context,
                                 OperatorOptions Options)
    : m_Context(std::move(Context)), m_Options(Options) {
  m_Thread = std::thread([this] { run(); });
}

OperatorService::~OperatorService() {
  std::deque<Job> Rejected;
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    Rejected.swap(m_Queue);
  }
  m_Changed.notify_all();
  m_Thread.join();
  for (Job &Queued : Rejected)
    Queued.Done(problem(ResultCode::Draining, "this entry is shutting down"));
}

void OperatorService::handle(const http::Request &Request, Reply Done) {
  const Segments Path = segmentsOf(Request.Path);
  const std::string Resource = Path.empty() ? "" : Path[0];
  const bool IsGet = Request.Method == "GET";
  const bool IsPost = Request.Method == "POST";
  if (IsGet && Resource == "records" && Path.size() <= 3)
    return Done(getRecords(Path, Request));
  if (IsGet && Resource == "status" && Path.size() == 1)
    return Done(getStatus());
  if (IsGet && Resource == "explain" && Path.size() == 2)
    return Done(getExplanation(Path[1]));
  if (IsPost && Resource == "records" && Path.size() == 1)
    return enqueue(parseSubmission(Request), std::move(Done));
  if (Request.Method == "DELETE" && Resource == "records" && Path.size() == 3)
    return enqueue(parseWithdrawal(Path, Request), std::move(Done));
  if (IsPost && Resource == "targets" && Path.size() == 3)
    return enqueue(parseTargetRequest(Path, Request), std::move(Done),
                   TargetRequest{Path[1], Path[2] == "undrain"});
  Done(unknownPath());
}

http::Response OperatorService::getRecords(const Segments &Path,
                                           const http::Request &Request) const {
  SnapshotPointer Current = m_Context.Current();
  if (!Current)
    return problem(ResultCode::NotReady, "this entry has no configuration yet");
  if (Path.size() == 3) {
    const SnapshotRecord *Record = Current->find(Path[1], Path[2]);
    if (!Record || Record->Stored.Withdrawn)
      return problem(ResultCode::RecordNotFound,
                     "there is no " + Path[1] + " " + Path[2]);
    return jsonResponse(jsonOf(*Record));
  }
  OrderedJson Body = {{"revision", Current->revision()},
                      {"records", OrderedJson::array()}};
  bool IncludeWithdrawn = Request.query("withdrawn") == "1";
  for (const SnapshotRecord *Record :
       Current->list(Path.size() == 2 ? Path[1] : ""))
    if (IncludeWithdrawn || !Record->Stored.Withdrawn)
      Body["records"].push_back(jsonOf(*Record));
  return jsonResponse(Body);
}

http::Response OperatorService::getStatus() const {
  SnapshotPointer Current = m_Context.Current();
  std::string Reason = m_Context.NotServingReason();
  OrderedJson Body = {{"entry", m_Context.Status.entryId()},
                      {"revision", Current ? Current->revision() : 0},
                      {"serving", Reason.empty()}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  Body["targets"] = OrderedJson::array();
  for (const TargetStatus &Target : m_Context.Status.targets())
    Body["targets"].push_back(jsonOf(Target));
  Body["entries"] = OrderedJson::array();
  for (const EntryStatus &Entry : m_Context.Status.entries())
    Body["entries"].push_back(jsonOf(Entry));
  return jsonResponse(Body);
}

http::Response OperatorService::getExplanation(const std::string &Id) const {
  OrderedJson Body = {{"id", Id}, {"entry", m_Context.Status.entryId()}};
  for (const TargetStatus &Target : m_Context.Status.targets())
    if (Target.Id == Id)
      Body["target"] = jsonOf(Target);
  if (SnapshotPointer Current = m_Context.Current())
    if (const SnapshotRecord *Record = Current->find("target", Id))
      Body["record"] = jsonOf(*Record);
  Body["events"] = m_Context.Status.explain(Id);
  return jsonResponse(Body);
}

/// Every write gets an operation id, so that it can be retried safely after a
/// lost response.
Result<std::string> OperatorService::parseOperationId(const std::string &Text) {
  if (Text.empty())
    return m_Ids.nextText();
  auto Id = Uuid::parse(Text);
  if (!Id || !Id.value().isVersion7())
    return failure(ResultCode::InvalidInput,
                   "found \"" + Text + "\"; expected a UUID of version 7",
                   "operationId");
  return Id.value().toString();
}

Result<void> OperatorService::addRecords(const std::string &File,
                                         ChangeRequest &Output) const {
  FIGLIFT_TRY(Texts, record::splitRecords(File));
  FIGLIFT_TRY(Records, record::parseRecords(File));
  for (size_t Index = 0; Index < Records.size(); ++Index) {
    Change Next{Records[Index].Kind, Records[Index].Name,
                std::move(Texts[Index].Text), false};
    for (const Change &Other : Output.Changes)
      if (Other.Kind == Next.Kind && Other.Name == Next.Name)
        return failure(ResultCode::RecordInvalid,
                       "found " + Next.Kind + " " + Next.Name +
                           " twice; expected at most once per operation",
                       "name");
    Output.Changes.push_back(std::move(Next));
  }
  return success();
}

static Result<std::optional<uint64_t>> parseVersion(const std::string &Text) {
  if (Text.empty())
    return std::optional<uint64_t>();
  uint64_t Version = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return failure(ResultCode::InvalidInput,
                   "found \"" + Text + "\"; expected a whole number from 0",
                   "ifVersion");
  return std::optional<uint64_t>(Version);
}

Result<ChangeRequest>
OperatorService::parseSubmission(const http::Request &Request) {
  FIGLIFT_TRY(Body, http::parseJsonBody(Request.Body));
  auto Invalid = [](const char *Expected, const char *Field) {
    return failure(ResultCode::InvalidInput,
                   std::string("expected ") + Expected, Field);
  };
  if (!Body.is_object())
    return Invalid("an object with operationId and records", "");
  Json Id = Body.value("operationId", Json(""));
  Json Version = Body.value("ifVersion", Json());
  Json Records = Body.value("records", Json());
  if (!Id.is_string())
    return Invalid("a UUID of version 7", "operationId");
  if (!Version.is_null() && !Version.is_number_unsigned())
    return Invalid("a whole number from 0", "ifVersion");
  if (!Records.is_array())
    return Invalid("an array of texts", "records");

  ChangeRequest Parsed;
  FIGLIFT_TRY(OperationId, parseOperationId(Id.get<std::string>()));
  Parsed.OperationId = OperationId;
  if (!Version.is_null())
    Parsed.IfVersion = Version.get<uint64_t>();
  for (const Json &Text : Records) {
    if (!Text.is_string())
      return Invalid("an array of texts", "records");
    FIGLIFT_TRY(addRecords(Text.get<std::string>(), Parsed));
  }
  if (Parsed.Changes.empty() ||
      Parsed.Changes.size() > m_Options.MaximumRecordsPerOperation)
    return Invalid("1 to 64 records in an operation", "records");
  if (Parsed.IfVersion && Parsed.Changes.size() != 1)
    return Invalid("ifVersion with a single record", "ifVersion");
  return Parsed;
}

Result<ChangeRequest>
OperatorService::parseWithdrawal(const Segments &Path,
                                 const http::Request &Request) {
  ChangeRequest Parsed;
  FIGLIFT_TRY(OperationId, parseOperationId(Request.query("operationId")));
  Parsed.OperationId = OperationId;
  FIGLIFT_TRY(Version, parseVersion(Request.query("ifVersion")));
  Parsed.IfVersion = Version;
  Parsed.Changes.push_back({Path[1], Path[2], "", true});
  return Parsed;
}

Result<void>
OperatorService::checkTargetExists(const std::string &Target) const {
  auto Targets = m_Context.Status.targets();
  auto Matches = [&Target](const TargetStatus &Status) {
    return Status.Id == Target;
  };
  if (Targets.empty() || std::any_of(Targets.begin(), Targets.end(), Matches))
    return success();
  return failure(ResultCode::RecordNotFound,
                 "no target " + Target + " is known", "target");
}

Result<ChangeRequest>
OperatorService::parseTargetRequest(const Segments &Path,
                                    const http::Request &Request) {
  const std::string &Target = Path[1];
  const std::string &Verb = Path[2];
  if (Verb != "drain" && Verb != "undrain" && Verb != "retire")
    return failure(ResultCode::InvalidInput,
                   "found \"" + Verb + "\"; expected drain, undrain, retire");
  // A target that is no longer on the platform's list may still be retired.
  if (Verb == "drain") {
    FIGLIFT_TRY(checkTargetExists(Target));
  }
  ChangeRequest Parsed;
  FIGLIFT_TRY(OperationId, parseOperationId(Request.query("operationId")));
  Parsed.OperationId = OperationId;
  OrderedJson Record = {
      {"schemaVersion", 1},
      {"kind", "target"},
      {"name", Target},
      {"spec", {{"intent", Verb == "undrain" ? "serve" : Verb}}}};
  FIGLIFT_TRY(addRecords(
      Record.dump(-1, ' ', false, Json::error_handler_t::replace), Parsed));
  return Parsed;
}

void OperatorService::enqueue(Result<ChangeRequest> Request, Reply Done,
                              std::optional<TargetRequest> Target) {
  if (!Request)
    return Done(http::problemResponse(Request.error(), ""));
  std::unique_lock Lock(m_Mutex);
  const bool Full = m_Queue.size() >= m_Options.MaximumQueuedWrites;
  if (m_Stopped || Full) {
    const ResultCode Code =
        m_Stopped ? ResultCode::Draining : ResultCode::Overloaded;
    Lock.unlock();
    return Done(http::problemResponse(
        {Code, "the change was not queued", "", std::chrono::milliseconds(500)},
        ""));
  }
  m_Queue.push_back(
      {std::move(Request).value(), std::move(Done), std::move(Target)});
  Lock.unlock();
  m_Changed.notify_one();
}

void OperatorService::run() {
  while (true) {
    std::unique_lock Lock(m_Mutex);
    m_Changed.wait(Lock, [this] { return m_Stopped || !m_Queue.empty(); });
    if (m_Stopped)
      return;
    Job Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    Lock.unlock();
    perform(std::move(Next));
  }
}

/// Draining a VM must not depend on the table, whose outage may last long. The
/// agent follows the direct request until it restarts or a newer record of its
/// target arrives. The error informs the operator that no record was written.
Error OperatorService::requestDirectly(Error Cause,
                                       const TargetRequest &Request) const {
  const bool IsStoreError = Cause.Code == ResultCode::StoreUnavailable ||
                            Cause.Code == ResultCode::StoreOutcomeUnknown;
  if (!IsStoreError || !m_Context.RequestDrain(Request.Target, Request.Undrain))
    return Cause;
  Cause.Message += std::string("; the agent of ") + Request.Target +
                   " was asked to " + (Request.Undrain ? "serve" : "drain") +
                   " all the same, but the request is not recorded; retry it "
                   "when the table is available";
  return Cause;
}

void OperatorService::perform(Job Next) {
  auto Pause = [this](std::chrono::milliseconds Time) {
    std::unique_lock Lock(m_Mutex);
    m_Changed.wait_for(Lock, Time, [this] { return m_Stopped; });
  };
  auto Outcome = applyChange(m_Context.Table, std::move(Next.Request),
                             m_Options.Writer, Pause);
  if (!Outcome) {
    Error Cause = Outcome.error();
    if (Next.Target)
      Cause = requestDirectly(std::move(Cause), *Next.Target);
    return Next.Done(http::problemResponse(Cause, ""));
  }
  m_Context.OnCommitted(Outcome.value());
  Next.Done(jsonResponse(jsonOf(Outcome.value())));
}

} // namespace figlift::config
