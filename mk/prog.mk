# A program: NAME, SRCS.
include $(TOP)/mk/common.mk

all: $(OBJ)/$(NAME).bin
$(OBJ)/$(NAME).bin: $(SRCS:%.c=$(OBJ)/$(NAME)/%.o) $(LIB)
	@echo "LD $(NAME)"
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
