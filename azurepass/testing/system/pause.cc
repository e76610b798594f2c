// A timer on a context of its own.

#include "azurepass/testing/system/pause.h"

#include <glib.h>

namespace azurepass::testing {

void Pause(Duration time) {
  if (time <= Duration(0)) return;
  GMainContext* context = g_main_context_new();
  GMainLoop* loop = g_main_loop_new(context, FALSE);
  GSource* source = g_timeout_source_new(static_cast<guint>(time.count()));
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop*>(data));
        return G_SOURCE_REMOVE;
      },
      loop, nullptr);
  g_source_attach(source, context);
  g_main_loop_run(loop);
  g_source_unref(source);
  g_main_loop_unref(loop);
  g_main_context_unref(context);
}

}  // namespace azurepass::testing
