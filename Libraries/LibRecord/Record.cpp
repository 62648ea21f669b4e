//===- Record.cpp - Parses operators' records -----------------------------===//
//
// One function for each part of a record. A record is accepted or rejected as a
// whole; parsing stops at the first error.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/Record.h"

#include "LibRecord/FieldReader.h"
#include "LibRecord/RecordText.h"

#include <algorithm>
#include <cctype>

namespace figlift::record {

using Json = nlohmann::json;
using namespace std::chrono_literals;

static constexpr size_t MaximumNameLength = 63;
static constexpr unsigned MaximumTargets = 1024;
static constexpr double MaximumWeight = 1e6;

static constexpr NamedValues<ServiceClass, 3> ClassNames = {
    {{"immediate", ServiceClass::Immediate},
     {"interactive", ServiceClass::Interactive},
     {"background", ServiceClass::Background}}};

static constexpr NamedValues<BackEndType, 2> TypeNames = {
    {{"model", BackEndType::Model}, {"service", BackEndType::Service}}};

static constexpr NamedValues<TargetIntent, 3> IntentNames = {
    {{"serve", TargetIntent::Serve},
     {"drain", TargetIntent::Drain},
     {"retire", TargetIntent::Retire}}};

static constexpr char ExpectedName[] =
    "1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or "
    "digit";

/// Names are used in table keys and URL paths.
static bool isName(const std::string &Text) {
  auto Allowed = [](unsigned char Byte) {
    return std::isalnum(Byte) || Byte == '-' || Byte == '_' || Byte == '.';
  };
  return !Text.empty() && Text.size() <= MaximumNameLength &&
         std::isalnum(static_cast<unsigned char>(Text.front())) &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

static void readName(FieldReader &Reader, const std::string &Field,
                     std::string &Output) {
  Reader.require(Field, ExpectedName);
  Reader.read(Field, Output, MaximumNameLength);
  if (!Reader.error() && !isName(Output))
    Reader.reject(Field, ExpectedName);
}

static void readModel(FieldReader &Reader,
                      std::vector<ModelReference> &Output) {
  ModelReference Model;
  readName(Reader, "name", Model.Name);
  readName(Reader, "version", Model.Version);
  Reader.requireVersion2("adapters");
  Reader.read("adapters", Model.Adapters, isName, ExpectedName);
  Reader.finish();
  auto Same = [&Model](const ModelReference &Other) {
    return Other.Name == Model.Name && Other.Version == Model.Version;
  };
  if (std::any_of(Output.begin(), Output.end(), Same))
    Reader.reject("name", "each model and version once");
  Output.push_back(std::move(Model));
}

/// Every request needs a prefill and a decode. A split without a target for one
/// of them could not serve any request.
static void checkRoles(FieldReader &Reader, const RoleSplit &Roles) {
  if (Roles.Prefill + Roles.Mixed == 0)
    Reader.fail(Reader.pathOf("prefill"),
                "found no target that can do prefill; expected at least one "
                "target in \"prefill\" or \"mixed\"");
  if (Roles.Decode + Roles.Mixed == 0)
    Reader.fail(Reader.pathOf("decode"),
                "found no target that can do decode; expected at least one "
                "target in \"decode\" or \"mixed\"");
  if (Roles.Prefill + Roles.Decode + Roles.Mixed > MaximumTargets)
    Reader.fail(Reader.pathOf("mixed"), "found more than " +
                                            std::to_string(MaximumTargets) +
                                            " targets in all roles");
}

static void readRoles(FieldReader &Reader, RoleSplit &Output) {
  Reader.readInteger("prefill", Output.Prefill, 0, MaximumTargets);
  Reader.readInteger("decode", Output.Decode, 0, MaximumTargets);
  Reader.readInteger("mixed", Output.Mixed, 0, MaximumTargets);
  Reader.finish();
  checkRoles(Reader, Output);
}

static void readWeights(FieldReader &Reader, PlannerWeights &Output) {
  Reader.read("goodput", Output.Goodput, 0, MaximumWeight);
  Reader.read("roleChangeCost", Output.RoleChangeCost, 0, MaximumWeight);
  Reader.read("horizon", Output.Horizon, 1s, 1h);
  Reader.readInteger("maximumConcurrentChanges",
                     Output.MaximumConcurrentChanges, 1, MaximumTargets);
  Reader.finish();
}

static void readClassLimits(FieldReader &Reader, ClassLimits &Output) {
  Reader.readInteger("maximumQueuedTokens", Output.MaximumQueuedTokens, 1,
                     uint64_t(1) << 32);
  Reader.read("defaultDeadline", Output.DefaultDeadline, 10ms, 24h);
  Reader.finish();
}

static void readClasses(FieldReader &Reader,
                        std::map<ServiceClass, ClassLimits> &Output) {
  for (const auto &[Name, Class] : ClassNames)
    Reader.readObject(std::string(Name),
                      [&, Class = Class](FieldReader &Limits) {
                        readClassLimits(Limits, Output[Class]);
                      });
  Reader.finish();
}

static void readPaths(FieldReader &Reader, const std::string &Field,
                      std::vector<std::string> &Output) {
  auto IsPath = [](const std::string &Path) {
    return !Path.empty() && Path.front() == '/' && Path.size() <= 1024;
  };
  Reader.read(Field, Output, IsPath, "a path that begins with '/'");
}

/// Rejects fields that exist only for the other type of back end.
static void rejectFields(FieldReader &Reader, BackEndType Type) {
  auto Reject = [&Reader](const char *Field, const char *OtherType) {
    if (Reader.has(Field))
      Reader.reject(Field, std::string("this field only with \"type\": \"") +
                               OtherType + '"');
  };
  if (Type == BackEndType::Service)
    for (const char *Field : {"models", "roles", "weights"})
      Reject(Field, "model");
  else
    for (const char *Field : {"nonRepeatablePaths", "immediatePaths"})
      Reject(Field, "service");
}

static Specification readBackEnd(FieldReader &Reader) {
  BackEnd Spec;
  Reader.require("type", "\"model\", \"service\"");
  Reader.read("type", Spec.Type, TypeNames);
  Reader.requireVersion2("weights");
  Reader.requireVersion2("classes");
  rejectFields(Reader, Spec.Type);
  if (Spec.Type == BackEndType::Model) {
    Reader.require("models", "an array of at least one model");
    Reader.require("roles", "an object with \"prefill\", \"decode\", "
                            "\"mixed\"");
  }
  Reader.readObjects(
      "models", [&Spec](FieldReader &Model) { readModel(Model, Spec.Models); });
  if (Spec.Type == BackEndType::Model && Spec.Models.empty())
    Reader.reject("models", "an array of at least one model");
  Reader.readObject(
      "roles", [&Spec](FieldReader &Roles) { readRoles(Roles, Spec.Roles); });
  Reader.readObject("weights", [&Spec](FieldReader &Weights) {
    readWeights(Weights, Spec.Weights);
  });
  Reader.readObject("classes", [&Spec](FieldReader &Classes) {
    readClasses(Classes, Spec.Classes);
  });
  Reader.read("honoursFencing", Spec.HonoursFencing);
  readPaths(Reader, "nonRepeatablePaths", Spec.NonRepeatablePaths);
  readPaths(Reader, "immediatePaths", Spec.ImmediatePaths);
  return Spec;
}

static Specification readWorkspace(FieldReader &Reader) {
  Workspace Spec;
  Reader.read("share", Spec.Share, 0.001, MaximumWeight);
  unsigned Requests = 0;
  Reader.readInteger("maximumConcurrentRequests", Requests, 1, 1'000'000);
  if (Reader.has("maximumConcurrentRequests"))
    Spec.MaximumConcurrentRequests = Requests;
  ServiceClass Class = ServiceClass::Interactive;
  Reader.requireVersion2("defaultClass");
  Reader.read("defaultClass", Class, ClassNames);
  if (Reader.has("defaultClass"))
    Spec.DefaultClass = Class;
  return Spec;
}

static Specification readTarget(FieldReader &Reader) {
  TargetDesiredState Spec;
  Reader.require("intent", "\"serve\", \"drain\", \"retire\"");
  Reader.read("intent", Spec.Intent, IntentNames);
  return Spec;
}

using SpecificationReader = Specification (*)(FieldReader &);

static constexpr NamedValues<SpecificationReader, 3> Kinds = {
    {{"backEnd", readBackEnd},
     {"workspace", readWorkspace},
     {"target", readTarget}}};

static unsigned schemaVersionOf(FieldReader &Reader) {
  unsigned Version = 0;
  Reader.require("schemaVersion", "1 or 2");
  Reader.readInteger("schemaVersion", Version, OldestSchemaVersion,
                     NewestSchemaVersion);
  return Version;
}

static Result<Record> toRecord(const Json &Value) {
  FieldReader Reader(Value, "", NewestSchemaVersion);
  Record Parsed;
  Parsed.SchemaVersion = schemaVersionOf(Reader);
  readName(Reader, "name", Parsed.Name);
  SpecificationReader ReadSpecification = nullptr;
  Reader.require("kind", "\"backEnd\", \"workspace\", \"target\"");
  Reader.read("kind", ReadSpecification, Kinds);
  Reader.require("spec", "an object");
  if (!Reader.error())
    Parsed.Kind = Value.at("kind").get<std::string>();
  Reader.readObject("spec", [&](FieldReader &) {});
  Reader.finish();
  if (Reader.error())
    return outcome::failure(*Reader.error());

  FieldReader SpecReader(Value.at("spec"), "spec", Parsed.SchemaVersion);
  Parsed.Spec = ReadSpecification(SpecReader);
  SpecReader.finish();
  if (SpecReader.error())
    return outcome::failure(*SpecReader.error());
  return Parsed;
}

static Result<Record> parseOne(const RecordText &Source) {
  Json Value = Json::parse(Source.Text, nullptr, false, true);
  if (Value.is_discarded())
    return failure(ResultCode::RecordInvalid,
                   "line " + std::to_string(Source.FirstLine) +
                       ": found a syntax error; expected JSON with comments");
  return toRecord(Value);
}

Result<Record> parseRecord(std::string_view Text) {
  FIGLIFT_TRY(Texts, splitRecords(Text));
  if (Texts.size() != 1)
    return failure(ResultCode::RecordInvalid, "found " +
                                                  std::to_string(Texts.size()) +
                                                  " records; expected one");
  return parseOne(Texts.front());
}

Result<std::vector<Record>> parseRecords(std::string_view File) {
  FIGLIFT_TRY(Texts, splitRecords(File));
  std::vector<Record> Records;
  for (const RecordText &Source : Texts) {
    auto Parsed = parseOne(Source);
    if (!Parsed) {
      Error Invalid = std::move(Parsed).error();
      Invalid.Message = "record that begins on line " +
                        std::to_string(Source.FirstLine) + ": " +
                        Invalid.Message;
      return outcome::failure(std::move(Invalid));
    }
    Records.push_back(std::move(Parsed).value());
  }
  return Records;
}

} // namespace figlift::record
