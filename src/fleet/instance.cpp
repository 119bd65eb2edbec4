#include "fleet/instance.hpp"

namespace lilacmux {

void to_json(nlohmann::json& out, const Instance& instance) {
  out = {{"id", instance.id},        {"service", instance.service}, {"at", instance.address},
         {"zone", instance.zone},    {"slots", instance.capacity},  {"leaves", instance.draining},
         {"cold", instance.warmupMs}};
}

void from_json(const nlohmann::json& in, Instance& instance) {
  in.at("id").get_to(instance.id);
  in.at("service").get_to(instance.service);
  in.at("at").get_to(instance.address);
  in.at("zone").get_to(instance.zone);
  in.at("slots").get_to(instance.capacity);
  in.at("leaves").get_to(instance.draining);
  in.at("cold").get_to(instance.warmupMs);
}

}  // namespace lilacmux
