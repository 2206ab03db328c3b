# Shared by every folder's Makefile.
.DEFAULT_GOAL := all
TOP ?= ..
PKGS = apr-1 libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson \
	yaml-0.1 libxxhash libsodium libbsd-overlay libzstd
BUILD ?= debug
# The folder for everything built; the platform needs one of its own.
BUILDDIR ?= build
OBJ = $(TOP)/$(BUILDDIR)/$(BUILD)
OUT ?= $(OBJ)
CC = gcc
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Werror
CFLAGS += -std=gnu11 -g -O2 $(WARN) -I$(TOP)/lib \
	$(shell pkg-config --cflags $(PKGS))
LDLIBS += $(shell pkg-config --libs $(PKGS)) -lhttp_parser -largtable2 -llog4c -lm
ifeq ($(BUILD),asan)
CFLAGS += -O1 -fsanitize=address,undefined -fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined \
	-Wno-format-truncation
LDFLAGS += -fsanitize=address,undefined
endif
LIB = $(OBJ)/libmarlhoist.a

$(OBJ)/$(NAME)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "CC $(NAME)/$<"
	@$(CC) $(CFLAGS) -MMD -c -o $@ $<

-include $(wildcard $(OBJ)/$(NAME)/*.d)
