/** \file
 * Includes the messages between dogwooddrum processes, except the workload
 * messages. They are plain structs; their serialize members are templates, so
 * that no codec header is needed.
 */
#pragma once

#include "dogwooddrum/protocol/AgentMessages.h"
#include "dogwooddrum/protocol/ClientMessages.h"
#include "dogwooddrum/protocol/ConfigurationMessages.h"
#include "dogwooddrum/protocol/JobMessages.h"
#include "dogwooddrum/protocol/Limits.h"
#include "dogwooddrum/protocol/MessageType.h"
