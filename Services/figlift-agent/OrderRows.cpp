//===- OrderRows.cpp - Rows of the table that orders use ------------------===//
//
// {"orderId","epoch","order":{"kind",...},"state"} and {"holder","epoch",...}.
//
//===----------------------------------------------------------------------===//

#include "OrderRows.h"

#include <nlohmann/json.hpp>

namespace figlift::agent {

using namespace order;
using Json = nlohmann::json;

std::string orderRowKey(std::string_view Target) {
  return "order/" + std::string(Target);
}

std::string leaseRowKey(std::string_view BackEnd, std::string_view Region) {
  return "lease/" + std::string(BackEnd) + "/" + std::string(Region);
}

namespace {
struct ChangeWriter {
  Json operator()(const SetRole &Change) const {
    return {{"kind", "set_role"}, {"role", Change.Role}};
  }
  Json operator()(const LoadModel &Change) const {
    return {{"kind", "load_model"},
            {"model", Change.Model},
            {"version", Change.Version},
            {"adapter", Change.Adapter}};
  }
  Json operator()(const UnloadModel &Change) const {
    return {{"kind", "unload_model"},
            {"model", Change.Model},
            {"version", Change.Version},
            {"adapter", Change.Adapter}};
  }
};
} // namespace

static Change readChange(const Json &Order) {
  const auto Kind = Order.at("kind").get<std::string>();
  if (Kind == "set_role")
    return SetRole{Order.at("role").get<std::string>()};
  const auto Model = Order.at("model").get<std::string>();
  const auto Version = Order.at("version").get<std::string>();
  const auto Adapter = Order.at("adapter").get<std::string>();
  if (Kind == "load_model")
    return LoadModel{Model, Version, Adapter};
  return UnloadModel{Model, Version, Adapter};
}

static const char *stateName(IntentState State) {
  switch (State) {
  case IntentState::Intended:
    return "intended";
  case IntentState::Done:
    return "done";
  case IntentState::Abandoned:
    return "abandoned";
  }
  return "intended";
}

static IntentState stateFromName(const std::string &Name) {
  if (Name == "done")
    return IntentState::Done;
  return Name == "abandoned" ? IntentState::Abandoned : IntentState::Intended;
}

Result<std::optional<IntentRow>> readIntentRow(std::string_view Value) {
  if (Value.empty())
    return std::optional<IntentRow>();
  try {
    const Json Row = Json::parse(Value);
    return std::optional(IntentRow{
        {Row.at("orderId").get<std::string>(), Row.at("epoch").get<uint64_t>(),
         readChange(Row.at("order"))},
        stateFromName(Row.at("state").get<std::string>())});
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::Internal, Exception.what(), "order");
  }
}

std::string writeIntentRow(const IntentRow &Row) {
  return Json{{"orderId", Row.Intent.Id},
              {"epoch", Row.Intent.Epoch},
              {"order", std::visit(ChangeWriter{}, Row.Intent.RequestedChange)},
              {"state", stateName(Row.State)}}
      .dump();
}

Result<LeaseRow> readLeaseRow(std::string_view Value) {
  if (Value.empty())
    return LeaseRow{};
  try {
    const Json Row = Json::parse(Value);
    return LeaseRow{Row.at("epoch").get<uint64_t>(),
                    Row.value("holder", std::string())};
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::Internal, Exception.what(), "lease");
  }
}

} // namespace figlift::agent
